#include "entry/api.hpp"

#include "base/log.hpp"
#include "config/schema.hpp"
#include "config/sheet_file.hpp"
#include "entry/replies.hpp"
#include "entry/target.hpp"
#include "http/json_reply.hpp"
#include "model/codec.hpp"
#include "model/json_bounds.hpp"

#include <algorithm>
#include <array>
#include <limits>
#include <string_view>
#include <utility>

namespace poplarramp
{

namespace
{

constexpr std::string_view bearer_prefix = "Bearer ";
// Size of the largest gang.
constexpr int max_job_accelerators = 256;
// End of the year 9999; later times could overflow in clock conversions.
constexpr std::uint64_t max_unix_ms = 253402300799000;

// Compares in constant time, so that response times do not reveal how many
// leading characters of a token are right.
bool secrets_equal(std::string_view given, std::string_view secret)
{
    if (given.size() != secret.size())
    {
        return false;
    }
    unsigned difference = 0;
    for (std::size_t i = 0; i < given.size(); ++i)
    {
        difference |= static_cast<unsigned char>(given[i]) ^
                      static_cast<unsigned char>(secret[i]);
    }
    return difference == 0;
}

// A job is one object of six members; its payload is a text of any length.
constexpr json_bounds job_bounds{
    4, 64, 64, std::numeric_limits<std::size_t>::max()};

std::optional<job_request>
read_job(const std::string& body, const clock_mapping& clock, failure& why)
{
    if (!check_bounds(body, job_bounds, why))
    {
        return std::nullopt;
    }
    const auto json = parse_json(body, why);
    if (!json)
    {
        return std::nullopt;
    }
    job_request request;
    std::int64_t deadline = 0;
    const schema members{
        required(name_field("customer", request.customer)),
        required(name_field("key", request.key)),
        required(name_field("kind", request.kind)),
        integer_field(
            "accelerators", request.accelerators, 0, max_job_accelerators),
        text_field("payload", request.payload),
        time_field("deadline", deadline),
    };
    if (!read_object(
            *json, {"job", "", result_code::bad_request}, members, why))
    {
        return std::nullopt;
    }
    request.deadline = clock.from_unix(deadline);
    return request;
}

} // namespace

struct api::call
{
    http_request request;
    request_target target;
    // Path segments that match "{}".
    std::vector<std::string> values;
    std::string operator_name;
    responder respond;
};

struct api::route
{
    std::string_view method;
    std::string_view path;
    // Changes the configuration; requires an operator token.
    bool operators_only;
    void (api::*handle)(call&);
};

std::span<const api::route> api::routes()
{
    static constexpr std::array table{
        route{"POST", "/v1/jobs", false, &api::submit},
        route{"GET", "/v1/jobs", false, &api::show_jobs},
        route{"GET", "/v1/jobs/{}/{}", false, &api::get_job},
        route{"DELETE", "/v1/jobs/{}/{}", false, &api::cancel_job},
        route{"GET", "/v1/zones", false, &api::show_zones},
        route{"GET", "/v1/backend-servers", false, &api::show_servers},
        route{"GET", "/v1/customers", false, &api::show_customers},
        route{"GET", "/v1/vms", false, &api::show_vms},
        route{"GET", "/v1/config", false, &api::show_config},
        route{"POST", "/v1/sheet", true, &api::apply_sheet},
        route{"POST", "/v1/zones/{}/out", true, &api::zone_out},
        route{"POST", "/v1/zones/{}/back", true, &api::zone_back},
        route{"GET", "/v1/burn", false, &api::show_burn},
        route{"GET", "/metrics", false, &api::show_metrics},
        route{"GET", "/health", false, &api::show_health},
    };
    return table;
}

api::api(controller& control,
         api_settings values,
         clock_mapping clock,
         std::function<time_point()> now)
    : control_(control), settings_(std::move(values)), clock_(clock),
      now_(std::move(now))
{
}

void api::set_operators(std::vector<operator_account> operators)
{
    settings_.operators = std::move(operators);
}

void api::begin_stop()
{
    stopping_ = true;
}

void api::handle(http_request request, responder respond)
{
    call item{std::move(request), {}, {}, {}, std::move(respond)};
    item.target = parse_target(item.request.target);
    failure why{result_code::not_found, "no such path"};
    for (const auto& candidate : routes())
    {
        auto values = match_path(candidate.path, item.target);
        if (!values)
        {
            continue;
        }
        if (candidate.method != item.request.method)
        {
            why = {result_code::method_not_allowed,
                   "the path does not support " + item.request.method};
            continue;
        }
        item.values = std::move(*values);
        if (!candidate.operators_only || authorize(item))
        {
            (this->*candidate.handle)(item);
        }
        return;
    }
    item.respond(json_response(why));
}

std::optional<std::string> api::operator_of(const http_request& request) const
{
    std::string_view given = request.authorization;
    if (!given.starts_with(bearer_prefix))
    {
        return std::nullopt;
    }
    given.remove_prefix(bearer_prefix.size());
    for (const auto& account : settings_.operators)
    {
        if (secrets_equal(given, account.token))
        {
            return account.name;
        }
    }
    return std::nullopt;
}

bool api::authorize(call& item)
{
    auto name = operator_of(item.request);
    if (name)
    {
        item.operator_name = std::move(*name);
        return true;
    }
    log_line(log_level::warning,
             "entry",
             "Refused an operator call without a valid token.",
             {{"peer", item.request.peer},
              {"method", item.request.method},
              {"path", item.request.target}});
    item.respond(json_response({result_code::unauthorized,
                                "the call needs the token of an operator"}));
    return false;
}

std::optional<time_point> api::wait_until(call& item) const
{
    const auto value = query_number(item.target, "wait_until", 0);
    if (!value)
    {
        item.respond(json_response(
            {result_code::bad_request,
             "wait_until: found " + item.target.query.at("wait_until") +
                 "; allowed: Unix time in milliseconds"}));
        return std::nullopt;
    }
    if (*value == 0)
    {
        return now_();
    }
    const auto time = std::min(*value, max_unix_ms);
    return clock_.from_unix(static_cast<std::int64_t>(time));
}

void api::on_job_ended(const job& item)
{
    job_sample sample;
    sample.customer = item.request.customer;
    sample.kind = item.request.kind;
    sample.zone = item.zone;
    sample.code = item.outcome.code;
    sample.completion = now_() - item.accepted;
    metrics_.record(sample);
    record_objective(sample);
}

// A job meets its objective if its complete result arrived in time. Cancelled
// jobs do not count.
void api::record_objective(const job_sample& sample)
{
    const auto* kind = find_kind(control_.config().sheet, sample.kind);
    if (kind == nullptr || kind->objective_within == milliseconds(0) ||
        sample.code == result_code::cancelled)
    {
        return;
    }
    const bool met = sample.code == result_code::ok &&
                     sample.completion <= kind->objective_within;
    burn_.record(sample.customer,
                 sample.zone,
                 sample.kind,
                 kind->objective_share,
                 met,
                 now_());
}

void api::submit(call& item)
{
    const auto until = wait_until(item);
    if (!until)
    {
        return;
    }
    failure why;
    const auto request = read_job(item.request.body, clock_, why);
    if (!request)
    {
        item.respond(json_response(why));
        return;
    }
    control_.submit(
        *request,
        *until,
        [this, respond = std::move(item.respond)](const job_reply& reply)
        { respond(job_response(reply, clock_)); });
}

void api::get_job(call& item)
{
    const auto until = wait_until(item);
    if (!until)
    {
        return;
    }
    control_.get_job(
        item.values[0],
        item.values[1],
        *until,
        [this, respond = std::move(item.respond)](const job_reply& reply)
        { respond(job_response(reply, clock_)); });
}

void api::cancel_job(call& item)
{
    control_.cancel_job(
        item.values[0],
        item.values[1],
        [this, respond = std::move(item.respond)](const job_reply& reply)
        { respond(job_response(reply, clock_)); });
}

void api::apply_sheet(call& item)
{
    const auto version = query_number(item.target, "expected_version", 0);
    if (!version)
    {
        item.respond(json_response(
            {result_code::bad_request, "expected_version: no number"}));
        return;
    }
    failure why;
    auto sheet = parse_sheet(item.request.body, "sheet", why);
    if (!sheet)
    {
        item.respond(json_response(why));
        return;
    }
    const auto current = control_.config().version;
    if (*version != 0 && *version != current)
    {
        item.respond(json_response(
            {result_code::conflict,
             "the configuration has version " + std::to_string(current) +
                 ", changed by " + control_.config().changed_by}));
        return;
    }
    if (item.target.query.count("dry_run") != 0)
    {
        change_reply unchanged;
        unchanged.version = current;
        item.respond(change_response(unchanged));
        return;
    }
    control_.apply_sheet(
        std::move(*sheet),
        *version,
        item.operator_name,
        [respond = std::move(item.respond)](const change_reply& reply)
        { respond(change_response(reply)); });
}

void api::zone_out(call& item)
{
    set_zone(item, zone_state::out);
}

void api::zone_back(call& item)
{
    set_zone(item, zone_state::open);
}

void api::set_zone(call& item, zone_state target)
{
    log_line(
        log_level::info,
        "entry",
        target == zone_state::out
            ? "An operator takes the availability zone out of service."
            : "An operator brings the availability zone back into service.",
        {{"zone", item.values[0]}, {"operator", item.operator_name}});
    control_.set_zone(
        item.values[0],
        target,
        item.operator_name,
        [respond = std::move(item.respond)](const change_reply& reply)
        { respond(change_response(reply)); });
}

void api::show_jobs(call& item)
{
    control_.zone_statuses([respond = std::move(item.respond)](
                               const std::vector<zone_status>& zones)
                           { respond(jobs_response(zones)); });
}

void api::show_zones(call& item)
{
    control_.zone_statuses(
        [this, respond = std::move(item.respond)](
            const std::vector<zone_status>& zones)
        { respond(zones_response(zones, control_.config())); });
}

void api::show_servers(call& item)
{
    control_.zone_statuses([respond = std::move(item.respond)](
                               const std::vector<zone_status>& zones)
                           { respond(servers_response(zones)); });
}

void api::show_customers(call& item)
{
    control_.zone_statuses([respond = std::move(item.respond)](
                               const std::vector<zone_status>& zones)
                           { respond(customers_response(zones)); });
}

void api::show_vms(call& item)
{
    item.respond(vms_response(control_.vms()));
}

void api::show_config(call& item)
{
    Json::Value body;
    body["config"] = to_json(control_.config());
    item.respond(json_response({}, std::move(body)));
}

void api::set_gauges()
{
    metrics_.set_gauge("poplarramp_config_version",
                       settings_.zone,
                       static_cast<double>(control_.config().version));
    const auto status = control_.handlers().on_status();
    const bool scheduler = !status.error;
    if (!scheduler && !was_scheduler_)
    {
        return;
    }
    was_scheduler_ = true;
    // A VM that was the scheduler reports NaN, not its outdated last values.
    const auto value = [scheduler](int figure)
    {
        return scheduler ? static_cast<double>(figure)
                         : std::numeric_limits<double>::quiet_NaN();
    };
    metrics_.set_gauge("poplarramp_free_accelerators",
                       settings_.zone,
                       value(status.free_accelerators));
    metrics_.set_gauge("poplarramp_largest_open_shape_accelerators",
                       settings_.zone,
                       value(status.largest_open_shape));
}

void api::show_burn(call& item)
{
    Json::Value body;
    const auto rows = burn_.rows(now_());
    body["rows"] = to_json(std::span<const burn_row>(rows));
    item.respond(json_response({}, std::move(body)));
}

void api::show_metrics(call& item)
{
    set_gauges();
    http_response response;
    response.content_type = "text/plain; version=0.0.4";
    response.body = metrics_.prometheus();
    item.respond(std::move(response));
}

void api::show_health(call& item)
{
    Json::Value body;
    body["vm"] = settings_.vm;
    body["zone"] = settings_.zone;
    body["config_version"] =
        static_cast<Json::UInt64>(control_.config().version);
    const failure state =
        stopping_ ? failure{result_code::vm_stopping, "the VM is stopping"}
                  : failure{};
    item.respond(json_response(state, std::move(body)));
}

} // namespace poplarramp
