#include "services/http_services.hpp"

#include "base/log.hpp"
#include "http/json_reply.hpp"
#include "model/codec.hpp"
#include "services/services_codec.hpp"

#include <cctype>
#include <memory>
#include <utility>

namespace poplarramp
{

namespace
{

// Whether a call may probe the service while its circuit is half-open. A table
// write may not, because a failed probe would leave its outcome unknown.
enum class probing
{
    allowed,
    forbidden,
};

// Maps errors that mean that the call had no effect to `store_unavailable`;
// others are unchanged. Also used for the object store and the member list.
failure as_service_failure(const failure& error)
{
    if (error.code == result_code::unreachable || is_not_run(error.code))
    {
        return {result_code::store_unavailable, error.reason};
    }
    return error;
}

// True if the service failed, false if it refused this one request. With
// `answer_lost` the request may have taken effect, but its reply is missing,
// unreadable or does not tell.
bool is_outage(const failure& error)
{
    switch (error.code)
    {
    case result_code::store_unavailable:
    case result_code::timeout:
    case result_code::unreachable:
    case result_code::internal_error:
    case result_code::answer_lost:
        return true;
    default:
        return false;
    }
}

// The table, the object store or the member list, behind a circuit breaker.
class platform_service : public std::enable_shared_from_this<platform_service>
{
public:
    platform_service(std::string name,
                     const http_services_settings& settings,
                     http_services_hooks hooks)
        : name_(std::move(name)), address_(settings.address),
          hooks_(std::move(hooks)), breaker_(settings.breaker)
    {
    }

    // Calls `done` with the reply, or with `circuit_open`.
    void call(http_request request,
              probing may_probe,
              time_point deadline,
              std::function<void(http_reply)> done)
    {
        if (!breaker_.allow(hooks_.now(), may_probe == probing::allowed))
        {
            refuse(std::move(done));
            return;
        }
        hooks_.call(address_,
                    std::move(request),
                    deadline,
                    [self = shared_from_this(),
                     done = std::move(done)](http_reply reply)
                    {
                        self->report_outcome(reply);

                        done(std::move(reply));
                    });
    }

private:
    void refuse(std::function<void(http_reply)> done)
    {
        hooks_.post(
            [name = name_, done = std::move(done)]
            {
                done({{result_code::circuit_open,
                       "not sent: calls to the " + name + " are failing"},
                      {}});
            });
    }

    void report_outcome(const http_reply& reply)
    {
        failure error = reply.error;
        if (!error && reply.response.status >= first_server_error)
        {
            // Only the error is needed: a reply with such a status can still
            // say that the service refused this one request.
            json_reply_of(reply, error);
        }
        const auto state_before = breaker_.state(hooks_.now());
        if (is_outage(error))
        {
            breaker_.on_failure(hooks_.now());
        }
        else
        {
            breaker_.on_success();
        }
        log_state_change(state_before, error);
    }

    void log_state_change(circuit_state state_before, const failure& error)
    {
        const auto state_after = breaker_.state(hooks_.now());
        if (state_after == circuit_state::open &&
            state_before == circuit_state::closed)
        {
            log_line(log_level::warning,
                     "store",
                     "Calls are failing; the circuit is open.",
                     {{"service", name_}, {"reason", error.reason}});
        }
        if (state_after == circuit_state::closed &&
            state_before != circuit_state::closed)
        {
            log_line(log_level::info,
                     "store",
                     "Calls work again; the circuit is closed.",
                     {{"service", name_}});
        }
    }

    static constexpr int first_server_error = 500;

    const std::string name_;
    const std::string address_;
    const http_services_hooks hooks_;
    circuit_breaker breaker_;
};

using service_ptr = std::shared_ptr<platform_service>;

http_request post_request(std::string target, const Json::Value& body)
{
    http_request request;
    request.target = std::move(target);
    request.body = json_text(body);
    return request;
}

http_request get_request(std::string target)
{
    http_request request;
    request.method = "GET";
    request.target = std::move(target);
    request.idempotent = true;
    return request;
}

// The request may have taken effect, but its reply cannot be decoded. Only the
// reason of `why` is used.
failure as_answer_lost(const failure& why)
{
    return {result_code::answer_lost, "reply not understood: " + why.reason};
}

// JSON body of the reply. On failure returns nothing and fills `why` with an
// error mapped by `as_service_failure`.
std::optional<Json::Value> json_body_of(const http_reply& reply, failure& why)
{
    auto json = json_reply_of(reply, why);
    why = as_service_failure(why);
    return json;
}

// Decodes a reply with `decode`; on failure returns nothing and fills `why`.
template <class Decode>
auto decoded(const http_reply& reply, failure& why, const Decode& decode)
    -> decltype(decode(Json::Value(), why))
{
    const auto json = json_body_of(reply, why);
    if (!json)
    {
        return std::nullopt;
    }
    auto value = decode(*json, why);
    if (!value)
    {
        why = as_answer_lost(why);
    }
    return value;
}

void read_row(const service_ptr& service,
              const std::string& key,
              time_point deadline,
              const std::function<void(table_read_reply)>& done)
{
    Json::Value body;
    body["key"] = key;
    auto request = post_request("/v1/table/read", body);
    request.idempotent = true;
    service->call(std::move(request),
                  probing::allowed,
                  deadline,
                  [done](const http_reply& reply)
                  {
                      table_read_reply result;
                      auto row =
                          decoded(reply, result.error, table_row_from_json);
                      if (row)
                      {
                          result.row = std::move(*row);
                      }
                      done(std::move(result));
                  });
}

void write_rows(const service_ptr& service,
                const std::vector<table_change>& changes,
                time_point deadline,
                const std::function<void(table_write_reply)>& done)
{
    Json::Value body;
    body["changes"] = to_json(changes);
    service->call(
        post_request("/v1/table/write", body),
        probing::forbidden,
        deadline,
        [done, count = changes.size()](const http_reply& reply)
        {
            table_write_reply result;
            auto versions = decoded(reply, result.error, versions_from_json);
            if (versions && versions->size() != count)
            {
                result.error = as_answer_lost(
                    {result_code::bad_request, "wrong number of versions"});
            }
            else if (versions)
            {
                result.versions = std::move(*versions);
            }
            done(std::move(result));
        });
}

void scan_rows(const service_ptr& service,
               const std::string& prefix,
               const std::string& after_key,
               int limit,
               time_point deadline,
               const std::function<void(table_scan_reply)>& done)
{
    Json::Value body;
    body["prefix"] = prefix;
    body["after"] = after_key;
    body["limit"] = limit;
    auto request = post_request("/v1/table/scan", body);
    request.idempotent = true;
    service->call(std::move(request),
                  probing::allowed,
                  deadline,
                  [done](const http_reply& reply)
                  {
                      failure why;
                      auto page = decoded(reply, why, scan_from_json);
                      auto result =
                          page ? std::move(*page) : table_scan_reply{};
                      result.error = why;
                      done(std::move(result));
                  });
}

void put_object(const service_ptr& service,
                const std::string& key,
                std::string content,
                time_point deadline,
                const std::function<void(failure)>& done)
{
    http_request request;
    request.method = "PUT";
    request.target = "/v1/objects/" + percent_encoded(key);
    request.content_type = "application/octet-stream";
    request.body = std::move(content);
    // Putting the same content under the same key is idempotent.
    request.idempotent = true;
    service->call(std::move(request),
                  probing::allowed,
                  deadline,
                  [done](const http_reply& reply)
                  {
                      failure why;
                      json_body_of(reply, why);
                      done(why);
                  });
}

void get_object(const service_ptr& service,
                const std::string& key,
                time_point deadline,
                const std::function<void(object_reply)>& done)
{
    constexpr int status_ok = 200;
    service->call(get_request("/v1/objects/" + percent_encoded(key)),
                  probing::allowed,
                  deadline,
                  [done](http_reply reply)
                  {
                      object_reply result;
                      if (!reply.error && reply.response.status == status_ok)
                      {
                          result.content = std::move(reply.response.body);
                      }
                      else if (json_body_of(reply, result.error))
                      {
                          result.error = as_answer_lost(
                              {result_code::ok, "no content in the reply"});
                      }
                      done(std::move(result));
                  });
}

void read_members(const service_ptr& service,
                  time_point deadline,
                  const std::function<void(member_list_reply)>& done)
{
    service->call(get_request("/v1/members"),
                  probing::allowed,
                  deadline,
                  [done](const http_reply& reply)
                  {
                      member_list_reply result;
                      auto members =
                          decoded(reply, result.error, members_from_json);
                      if (members)
                      {
                          result.members = std::move(*members);
                      }
                      done(std::move(result));
                  });
}

table make_table(const service_ptr& service)
{
    table result;
    result.read = [service](std::string key, time_point deadline, auto done)
    {
        read_row(service, key, deadline, done);
    };
    result.write = [service](std::vector<table_change> changes,
                             time_point deadline,
                             auto done)
    {
        write_rows(service, changes, deadline, done);
    };
    result.scan = [service](std::string prefix,
                            std::string after_key,
                            int limit,
                            time_point deadline,
                            auto done)
    {
        scan_rows(service, prefix, after_key, limit, deadline, done);
    };
    return result;
}

} // namespace

std::string percent_encoded(const std::string& text)
{
    constexpr std::string_view unreserved = "-._~";
    constexpr std::string_view hex_digits = "0123456789ABCDEF";
    std::string encoded;
    for (const unsigned char c : text)
    {
        if (std::isalnum(c) != 0 ||
            unreserved.find(static_cast<char>(c)) != std::string_view::npos)
        {
            encoded += static_cast<char>(c);
            continue;
        }
        encoded += '%';
        encoded += hex_digits[c / hex_digits.size()];
        encoded += hex_digits[c % hex_digits.size()];
    }
    return encoded;
}

http_services make_http_services(const http_services_settings& settings,
                                 const http_services_hooks& hooks)
{
    const auto objects =
        std::make_shared<platform_service>("object store", settings, hooks);
    const auto members =
        std::make_shared<platform_service>("member list", settings, hooks);
    http_services services;
    services.kv_table = make_table(
        std::make_shared<platform_service>("table", settings, hooks));
    services.objects.put = [objects](std::string key,
                                     std::string content,
                                     time_point deadline,
                                     auto done)
    {
        put_object(objects, key, std::move(content), deadline, done);
    };
    services.objects.get =
        [objects](std::string key, time_point deadline, auto done)
    {
        get_object(objects, key, deadline, done);
    };
    services.members.read = [members](time_point deadline, auto done)
    {
        read_members(members, deadline, done);
    };
    return services;
}

} // namespace poplarramp
