#include "cli/remote.hpp"

#include "cli/burn_report.hpp"
#include "cli/cli.hpp"
#include "cli/text_table.hpp"
#include "config/json_file.hpp"
#include "config/sheet_file.hpp"
#include "model/codec.hpp"

#include <json/writer.h>

#include <algorithm>
#include <array>
#include <ostream>
#include <span>
#include <string_view>
#include <thread>

namespace poplarramp
{

namespace
{

// A wait is split into calls of at most this length, so that it continues at
// another entry VM soon after the first has failed.
constexpr milliseconds max_wait_per_call{5000};
// Delay before a call is repeated that had no certain reply.
constexpr milliseconds retry_interval{500};

constexpr std::array zone_columns{
    column{"ZONE", "zone"},
    column{"CONFIGURED", "configured"},
    column{"STATE", "state"},
    column{"SCHEDULER", "scheduler"},
    column{"BACKEND_SERVERS", "backend_servers"},
    column{"FREE_ACCELERATORS", "free_accelerators"},
    column{"LARGEST_SHAPE", "largest_open_shape"},
    column{"JOBS", "jobs"},
};

constexpr std::array server_columns{
    column{"ID", "id"},
    column{"RACK", "rack"},
    column{"ZONE", "zone"},
    column{"STATE", "state"},
    column{"ACCELERATORS", "accelerators"},
    column{"USED", "used_accelerators"},
    column{"SLOTS_USED", "used_slots"},
    column{"EPOCH", "epoch"},
};

constexpr std::array customer_columns{
    column{"CUSTOMER", "customer"},
    column{"ZONE", "zone"},
    column{"GUARANTEED", "guaranteed"},
    column{"IN_GUARANTEE", "in_guarantee"},
    column{"BORROWED", "borrowed"},
    column{"QUEUED", "queued"},
    column{"RECLAIMABLE", "reclaimable"},
};

constexpr std::array job_columns{
    column{"CUSTOMER", "customer"},
    column{"KEY", "key"},
    column{"KIND", "kind"},
    column{"ZONE", "zone"},
    column{"STATE", "state"},
    column{"ACCELERATORS", "accelerators"},
    column{"BACKEND_SERVERS", "servers"},
    column{"EXPLANATION", "explanation"},
};

constexpr std::array vm_columns{
    column{"ID", "id"},
    column{"ZONE", "zone"},
    column{"ADDRESS", "address"},
    column{"STATE", "state"},
    column{"CONFIG_VERSION", "config_version"},
};

constexpr std::array ended_columns{
    column{"CUSTOMER", "customer"},
    column{"KEY", "key"},
    column{"KIND", "kind"},
    column{"ZONE", "zone"},
    column{"STATE", "state"},
    column{"RESULT", "result"},
    column{"WAITED_MS", "waited_ms"},
};

struct list_description
{
    // Argument of `show`.
    std::string_view name;
    // Member of the reply that holds the rows.
    const char* member;
    std::span<const column> columns;
};

constexpr std::array list_descriptions{
    list_description{"zones", "zones", zone_columns},
    list_description{"backend-servers", "backend_servers", server_columns},
    list_description{"customers", "customers", customer_columns},
    list_description{"jobs", "jobs", job_columns},
    list_description{"vms", "vms", vm_columns},
};

int exit_code_of(const api_reply& reply)
{
    if (!reply.has_reply)
    {
        return exit_unreachable;
    }
    switch (reply.result.code)
    {
    case result_code::ok:
        return exit_ok;
    case result_code::pending:
        return exit_pending;
    default:
        return exit_failed;
    }
}

void print_error(const failure& why, output out)
{
    out.errors << "cli: " << name_of(why.code);
    if (!why.reason.empty())
    {
        out.errors << ": " << why.reason;
    }
    out.errors << '\n';
}

http_request make_request(const char* method, std::string target)
{
    http_request request;
    request.method = method;
    request.target = std::move(target);
    return request;
}

std::int64_t unix_ms_after(milliseconds wait)
{
    const auto clock = clock_mapping::of_this_process();
    return clock.to_unix(monotonic_now() + wait);
}

std::string wait_query(milliseconds wait)
{
    return "?wait_until=" + std::to_string(unix_ms_after(wait));
}

std::string join_names(const Json::Value& names)
{
    std::string text;
    for (const auto& name : names)
    {
        text += (text.empty() ? "" : ", ") + name.asString();
    }
    return text;
}

// Prints the result of a change of the configuration.
int print_change(const api_reply& reply, const command_line& line, output out)
{
    if (line.json && reply.has_reply)
    {
        out.text << json_text(reply.body) << '\n';
        return exit_code_of(reply);
    }
    if (reply.result.code != result_code::ok)
    {
        print_error(reply.result, out);
    }
    const bool accepted = reply.result.code == result_code::ok ||
                          reply.result.code == result_code::pending;
    if (!reply.has_reply || !accepted)
    {
        return exit_code_of(reply);
    }
    const auto& unconfirmed = reply.body["unconfirmed"];
    out.text << name_of(reply.result.code) << ": version "
             << reply.body["version"].asString();
    if (!reply.body["confirmed"].empty())
    {
        out.text << ", in force at " << join_names(reply.body["confirmed"]);
    }
    if (!unconfirmed.empty())
    {
        out.text << ", not confirmed by " << join_names(unconfirmed);
    }
    out.text << '\n';
    return exit_code_of(reply);
}

int apply_sheet(const command_line& line, api_client& client, output out)
{
    failure why;
    const auto& file = line.arguments[0];
    if (!read_sheet(file, why))
    {
        print_error(why, out);
        return exit_usage;
    }
    const auto text = read_file(file, result_code::bad_sheet, why);
    if (!text)
    {
        print_error(why, out);
        return exit_usage;
    }
    auto request = make_request(
        "POST",
        "/v1/sheet?expected_version=" + std::to_string(line.expected_version) +
            (line.dry_run ? "&dry_run=1" : ""));
    request.body = *text;
    const auto reply =
        client.call(std::move(request), milliseconds(0), line.dry_run);
    return print_change(reply, line, out);
}

int set_zone(const command_line& line,
             const char* action,
             api_client& client,
             output out)
{
    const auto reply = client.call(
        make_request("POST", "/v1/zones/" + line.arguments[0] + "/" + action),
        milliseconds(0),
        true);
    return print_change(reply, line, out);
}

// Prints the job of a reply and the time that the command waited for it.
int print_job(api_reply reply,
              milliseconds waited,
              const command_line& line,
              output out)
{
    auto& body = reply.body;
    if (reply.has_reply)
    {
        body["waited_ms"] = static_cast<Json::Int64>(waited.count());
    }
    if (line.json && reply.has_reply)
    {
        out.text << json_text(body) << '\n';
        return exit_code_of(reply);
    }
    if (reply.result.code != result_code::ok)
    {
        print_error(reply.result, out);
    }
    if (body.isObject() && body.isMember("job"))
    {
        auto row = body["job"];
        row["result"] = body["result"];
        row["waited_ms"] = body["waited_ms"];
        Json::Value rows(Json::arrayValue);
        rows.append(row);
        out.text << text_table(ended_columns, rows);
    }
    return exit_code_of(reply);
}

std::string job_body(const command_line& line)
{
    Json::Value json;
    json["customer"] = line.customer;
    json["key"] = line.key;
    json["kind"] = line.kind;
    json["accelerators"] = line.accelerators;
    json["payload"] = line.payload;
    json["deadline"] = line.deadline == milliseconds(0)
                           ? Json::Int64(0)
                           : Json::Int64(unix_ms_after(line.deadline));
    return json_text(json);
}

// State of a wait for a job between two calls.
struct job_wait
{
    std::string customer;
    std::string key;
    // Request body of the submission; empty: the command only waits.
    std::string body;
    bool submitted = false;
};

api_reply
submit_or_poll(const job_wait& job, milliseconds slice, api_client& client)
{
    if (!job.submitted)
    {
        auto request = make_request("POST", "/v1/jobs" + wait_query(slice));
        request.body = job.body;
        return client.call(std::move(request), slice, true);
    }
    return client.call(make_request("GET",
                                    "/v1/jobs/" + job.customer + "/" + job.key +
                                        wait_query(slice)),
                       slice,
                       true);
}

// True if there was no reply, the outcome is unknown (a 5xx code other than
// `internal_error`), the entry VM is stopping, or the job has not ended.
bool should_poll_again(const api_reply& reply)
{
    const auto code = reply.result.code;
    const bool uncertain =
        code >= result_code::timeout && code != result_code::internal_error;
    return !reply.has_reply || uncertain || code == result_code::pending ||
           code == result_code::vm_stopping;
}

// False if the job has to be submitted (again). A job that an entry VM accepted
// without storing a row is unknown to the others.
bool is_submitted(const job_wait& job, const api_reply& reply)
{
    if (job.body.empty())
    {
        return true;
    }
    return reply.has_reply &&
           (reply.result.code == result_code::pending ||
            (job.submitted && reply.result.code != result_code::not_found));
}

// Submits and waits in slices until the job has ended or the wait is over.
// Submitting again is idempotent, because the key identifies the job.
int wait_for_job(job_wait job,
                 const command_line& line,
                 api_client& client,
                 output out)
{
    const auto start = monotonic_now();
    const auto end = start + line.wait;
    api_reply reply;
    for (;;)
    {
        const auto left = std::max(milliseconds(0), end - monotonic_now());
        reply = submit_or_poll(job, std::min(left, max_wait_per_call), client);
        const bool was_submitted = job.submitted;
        job.submitted = is_submitted(job, reply);
        const bool lost = was_submitted && !job.submitted;
        const bool over = !lost && !should_poll_again(reply);
        if (over || monotonic_now() >= end)
        {
            break;
        }
        if (reply.result.code != result_code::pending)
        {
            std::this_thread::sleep_for(retry_interval);
        }
    }
    return print_job(std::move(reply), monotonic_now() - start, line, out);
}

int submit(const command_line& line, api_client& client, output out)
{
    return wait_for_job(
        {line.customer, line.key, job_body(line), false}, line, client, out);
}

int wait(const command_line& line, api_client& client, output out)
{
    return wait_for_job(
        {line.arguments[0], line.arguments[1], "", true}, line, client, out);
}

int cancel(const command_line& line, api_client& client, output out)
{
    const auto start = monotonic_now();
    auto reply = client.call(
        make_request("DELETE",
                     "/v1/jobs/" + line.arguments[0] + "/" + line.arguments[1]),
        milliseconds(0),
        true);
    const bool done = reply.result.code == result_code::cancelled;
    const int code =
        print_job(std::move(reply), monotonic_now() - start, line, out);
    return done ? exit_ok : code;
}

// Prints the current sheet in the format of a sheet file, so that it can be
// edited and applied again.
void print_config(const Json::Value& config, std::ostream& text)
{
    text << "// version " << config["version"].asString() << ", changed by "
         << config["changed_by"].asString() << '\n';
    const auto& zones = config["zones"];
    for (const auto& zone : zones.getMemberNames())
    {
        text << "// zone " << zone << ": " << zones[zone].asString() << '\n';
    }
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "    ";
    builder["enableYAMLCompatibility"] = true;
    builder["emitUTF8"] = true;
    text << Json::writeString(builder, config["sheet"]) << '\n';
}

// Prints an error for each availability zone that is missing from a list. True
// if there is any.
bool print_incomplete(const Json::Value& zones, output out)
{
    for (const auto& zone : zones)
    {
        out.errors << "cli: no reply from the scheduler of "
                   << zone["zone"].asString() << ": "
                   << zone["result"].asString() << '\n';
    }
    return !zones.empty();
}

int show(const command_line& line, api_client& client, output out)
{
    const auto& name = line.arguments[0];
    const auto reply =
        client.call(make_request("GET", "/v1/" + name), milliseconds(0), true);
    if (!reply.has_reply || reply.result.code != result_code::ok)
    {
        print_error(reply.result, out);
        return exit_code_of(reply);
    }
    if (line.json)
    {
        out.text << json_text(reply.body) << '\n';
    }
    else if (name == "config")
    {
        print_config(reply.body["config"], out.text);
    }
    else
    {
        const auto* list =
            std::find_if(list_descriptions.begin(),
                         list_descriptions.end(),
                         [&](const auto& item) { return item.name == name; });
        out.text << text_table(list->columns, reply.body[list->member]);
    }
    return print_incomplete(reply.body["incomplete"], out) ? exit_pending
                                                           : exit_ok;
}

} // namespace

int run_remote(const command_line& line, api_client& client, output out)
{
    if (line.command == "apply-sheet")
    {
        return apply_sheet(line, client, out);
    }
    if (line.command == "zone-out")
    {
        return set_zone(line, "out", client, out);
    }
    if (line.command == "zone-back")
    {
        return set_zone(line, "back", client, out);
    }
    if (line.command == "burn")
    {
        return run_burn_report(line, client, out);
    }
    if (line.command == "submit")
    {
        return submit(line, client, out);
    }
    if (line.command == "wait")
    {
        return wait(line, client, out);
    }
    if (line.command == "cancel")
    {
        return cancel(line, client, out);
    }
    return show(line, client, out);
}

} // namespace poplarramp
