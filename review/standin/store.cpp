#include "review/standin/store.hpp"

#include "model/codec.hpp"
#include "platform/wire.hpp"

#include <algorithm>
#include <charconv>
#include <stdexcept>
#include <string_view>

namespace poplarramp::review
{

namespace
{

constexpr int status_ok = 200;
constexpr int status_bad_request = 400;
constexpr int status_forbidden = 403;
constexpr int status_condition_failed = 412;

// PROTOCOL.md and `platform` in the settings of ongtm-sched.
constexpr std::size_t row_bytes = 65536;
constexpr std::size_t max_entries = 100;
constexpr std::size_t max_call_bytes = 1'000'000;
constexpr std::size_t max_page_rows = 500;

std::string decode_percent(std::string_view text)
{
    constexpr int hex = 16;
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        int code = 0;
        if (text[i] == '%' && i + 2 < text.size())
        {
            std::from_chars(
                text.data() + i + 1, text.data() + i + 3, code, hex);
            result += static_cast<char>(code);
            i += 2;
        }
        else
        {
            result += text[i];
        }
    }
    return result;
}

std::map<std::string, std::string> query_of(std::string_view target)
{
    std::map<std::string, std::string> result;
    const auto start = target.find('?');
    auto rest = start == std::string_view::npos ? std::string_view{}
                                                : target.substr(start + 1);
    while (!rest.empty())
    {
        const auto end = std::min(rest.find('&'), rest.size());
        const auto item = rest.substr(0, end);
        const auto equals = std::min(item.find('='), item.size());
        result[std::string(item.substr(0, equals))] =
            equals < item.size() ? decode_percent(item.substr(equals + 1)) : "";
        rest.remove_prefix(std::min(end + 1, rest.size()));
    }
    return result;
}

std::string text_at(const std::map<std::string, std::string>& query,
                    const std::string& name)
{
    const auto found = query.find(name);
    return found == query.end() ? "" : found->second;
}

std::uint64_t number_at(const std::map<std::string, std::string>& query,
                        const std::string& name,
                        std::uint64_t fallback)
{
    const auto text = text_at(query, name);
    return text.empty() ? fallback : std::stoull(text);
}

std::pair<std::string, std::string> key_of(const Json::Value& entry)
{
    return {entry["table"].asString(), entry["key"].asString()};
}

http_response response_of(int status, const Json::Value& body)
{
    http_response response;
    response.status = status;
    response.body = json_text(body);
    return response;
}

} // namespace

store::store(boost::asio::io_context& traffic,
             boost::asio::io_context& control,
             std::uint16_t port,
             record& log)
    : log_(log)
{
    http_server_settings settings;
    settings.port = port;
    settings.max_body_bytes = 2 * max_call_bytes;
    server_ = std::make_unique<http_server>(
        traffic,
        control,
        settings,
        [this](const http_request& request, respond_hook respond)
        { serve(request, std::move(respond)); });
    failure why;
    if (!server_->listen(why))
    {
        throw std::runtime_error(why.reason);
    }
}

void store::silence_feeds(const std::string& table)
{
    const auto silenced = std::erase_if(
        feeds_, [&table](const feed& call) { return call.table == table; });
    log_.write("store",
               std::to_string(silenced) +
                   " connections that wait for changes of " + table +
                   " go silent");
}

void store::put(const std::string& table,
                const std::string& key,
                const Json::Value& value)
{
    write({table, key}, platform::base64_encode(json_text(value)), ++version_);
}

void store::remove(const std::string& table, const std::string& key)
{
    erase({table, key}, ++version_);
}

void store::write(const row_key& key, std::string value, std::uint64_t version)
{
    auto& target = rows_[key];
    target = {std::move(value), version};
    history_.push_back({key, target, false});
}

void store::erase(const row_key& key, std::uint64_t version)
{
    if (rows_.erase(key) > 0)
    {
        history_.push_back({key, {"", version}, true});
    }
}

Json::Value store::describe(const row_key& key, const row& content) const
{
    Json::Value json;
    json["table"] = key.first;
    json["part"] = "";
    json["key"] = key.second;
    json["value"] = content.value;
    json["ver"] = static_cast<Json::UInt64>(content.version);
    return json;
}

http_response store::with_rows(Json::Value rows, int status, bool more) const
{
    Json::Value body;
    body["rows"] = std::move(rows);
    body["ver"] = static_cast<Json::UInt64>(version_);
    body["now_ms"] = static_cast<Json::Int64>(log_.now());
    body["has_more"] = more;
    return response_of(status, body);
}

void store::serve(const http_request& request, respond_hook respond)
{
    const auto path = request.target.substr(0, request.target.find('?'));
    const auto query = query_of(request.target);
    if (path == "/v1/rows-tx")
    {
        respond(transact(request));
    }
    else if (path == "/v1/rows-get")
    {
        respond(get(query));
    }
    else if (path == "/v1/rows-feed")
    {
        const auto wait =
            static_cast<std::int64_t>(number_at(query, "wait_ms", 0));
        feeds_.push_back({text_at(query, "table"),
                          number_at(query, "after", 0),
                          monotonic_now() + milliseconds(wait),
                          std::move(respond)});
    }
    else
    {
        respond(response_of(status_bad_request, Json::objectValue));
    }
}

http_response store::get(const query_map& query) const
{
    const auto table = text_at(query, "table");
    const auto to = text_at(query, "to");
    const auto limit = std::min<std::size_t>(
        number_at(query, "limit", max_page_rows), max_page_rows);
    Json::Value rows(Json::arrayValue);
    std::size_t bytes = 0;
    for (auto item = rows_.lower_bound({table, text_at(query, "from")});
         item != rows_.end() && item->first.first == table &&
         (to.empty() || item->first.second < to);
         ++item)
    {
        bytes += item->second.value.size();
        if (rows.size() >= limit || bytes > max_call_bytes)
        {
            return with_rows(std::move(rows), status_ok, true);
        }
        rows.append(describe(item->first, item->second));
    }
    return with_rows(std::move(rows), status_ok, false);
}

bool store::holds(const Json::Value& condition) const
{
    const auto found = rows_.find(key_of(condition));
    const auto version = found == rows_.end() ? 0 : found->second.version;
    return condition["ver"].asUInt64() == version;
}

std::optional<std::string> store::defect_of(const Json::Value& call,
                                            std::size_t bytes) const
{
    const auto entries = call["precondition"].size() + call["writes"].size() +
                         call["remove"].size();
    if (entries > max_entries)
    {
        return std::to_string(entries) + " entries";
    }
    if (bytes > max_call_bytes)
    {
        return std::to_string(bytes) + " bytes";
    }
    for (const auto& entry : call["writes"])
    {
        const auto value = platform::base64_decode(entry["value"].asString());
        if (!value || value->size() > row_bytes)
        {
            return "row " + entry["table"].asString() + "/" +
                   entry["key"].asString() + " has " +
                   std::to_string(value ? value->size() : 0) +
                   " bytes, more than row_bytes";
        }
    }
    return std::nullopt;
}

http_response store::transact(const http_request& request)
{
    failure why;
    const auto call = parse_json(request.body, why);
    if (!call)
    {
        return response_of(status_bad_request, Json::objectValue);
    }
    if (const auto defect = defect_of(*call, request.body.size()))
    {
        log_.write("store", "refuses rows-tx with 400: " + *defect);
        return response_of(status_bad_request, Json::objectValue);
    }
    for (const auto* list : {"writes", "remove"})
    {
        for (const auto& entry : (*call)[list])
        {
            const auto table = entry["table"].asString();
            if (table == "op" || table == "servers")
            {
                return response_of(status_forbidden, Json::objectValue);
            }
        }
    }
    const auto& conditions = (*call)["precondition"];
    if (!std::all_of(conditions.begin(),
                     conditions.end(),
                     [this](const Json::Value& item) { return holds(item); }))
    {
        Json::Value rows(Json::arrayValue);
        for (const auto& item : conditions)
        {
            const auto found = rows_.find(key_of(item));
            if (found != rows_.end())
            {
                rows.append(describe(found->first, found->second));
            }
        }
        return with_rows(std::move(rows), status_condition_failed, false);
    }
    const auto version = ++version_;
    for (const auto& entry : (*call)["writes"])
    {
        write(key_of(entry), entry["value"].asString(), version);
    }
    for (const auto& entry : (*call)["remove"])
    {
        erase(key_of(entry), version);
    }
    Json::Value body;
    body["ver"] = static_cast<Json::UInt64>(version);
    body["now_ms"] = static_cast<Json::Int64>(log_.now());
    return response_of(status_ok, body);
}

std::optional<http_response> store::answer(const feed& call, bool late) const
{
    Json::Value rows(Json::arrayValue);
    const auto first =
        std::partition_point(history_.begin(),
                             history_.end(),
                             [&call](const change& item)
                             { return item.content.version <= call.after; });
    for (auto item = first; item != history_.end(); ++item)
    {
        if (item->key.first == call.table)
        {
            auto& entry = rows.append(describe(item->key, item->content));
            if (item->deleted)
            {
                entry["deleted"] = true;
            }
        }
    }
    return rows.empty() && !late
               ? std::nullopt
               : std::optional(with_rows(std::move(rows), status_ok, false));
}

void store::tick()
{
    for (auto call = feeds_.begin(); call != feeds_.end();)
    {
        auto response = answer(*call, monotonic_now() >= call->deadline);
        if (!response)
        {
            ++call;
            continue;
        }
        call->respond(std::move(*response));
        call = feeds_.erase(call);
    }
}

} // namespace poplarramp::review
