#include "store.hpp"

#include "text.hpp"

#include <chrono>
#include <set>
#include <thread>

namespace review
{

namespace
{

constexpr int txn_ms = 3;
constexpr std::size_t max_rows = 500;

std::map<std::string, std::string> query_of(const std::string& target)
{
    std::map<std::string, std::string> result;
    const auto start = target.find('?');
    if (start == std::string::npos)
    {
        return result;
    }
    for (const auto& part : split(target.substr(start + 1), '&'))
    {
        const auto equals = part.find('=');
        if (equals != std::string::npos)
        {
            result[part.substr(0, equals)] =
                percent_decoded(part.substr(equals + 1));
        }
    }
    return result;
}

store::row_key key_of(const Json::Value& item)
{
    return {item["table"].asString(), item["key"].asString()};
}

} // namespace

store::store()
    : listener_([this](const http_request& request) { return handle(request); })
{
}

void store::put(const std::string& table,
                const std::string& key,
                const Json::Value& value)
{
    const std::lock_guard lock(mutex_);
    ++version_;
    write({table, key}, to_json_text(value));
    changed_.notify_all();
}

void store::erase(const std::string& table, const std::string& key)
{
    const std::lock_guard lock(mutex_);
    ++version_;
    write({table, key}, std::nullopt);
    changed_.notify_all();
}

std::optional<std::string> store::get(const std::string& table,
                                      const std::string& key)
{
    const std::lock_guard lock(mutex_);
    const auto found = rows_.find({table, key});
    return found == rows_.end() ? std::nullopt
                                : std::optional(found->second.value);
}

void store::set_fate(std::function<write_fate(const Json::Value&)> fate,
                     int late_by_ms)
{
    const std::lock_guard lock(mutex_);
    fate_ = std::move(fate);
    late_by_ms_ = late_by_ms;
}

void store::on_applied(std::function<void(const Json::Value&)> seen)
{
    const std::lock_guard lock(mutex_);
    seen_ = std::move(seen);
}

std::optional<http_response> store::handle(const http_request& request)
{
    const auto path = request.target.substr(0, request.target.find('?'));
    if (path == "/v1/rows-tx")
    {
        return transact(request);
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
    if (path == "/v1/rows-get")
    {
        return get_rows(query_of(request.target));
    }
    if (path == "/v1/rows-feed")
    {
        return feed(query_of(request.target));
    }
    return http_response{404, "{}"};
}

std::optional<http_response> store::transact(const http_request& request)
{
    const auto body = parse_json_text(request.body);
    auto fate = write_fate::answered;
    int late_by_ms = 0;
    {
        const std::lock_guard lock(mutex_);
        fate = fate_ ? fate_(body) : fate;
        late_by_ms = late_by_ms_;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(
        fate == write_fate::applied_late ? late_by_ms : txn_ms));
    const std::lock_guard lock(mutex_);
    if (!holds(body))
    {
        Json::Value found(Json::objectValue);
        found["rows"] = Json::Value(Json::arrayValue);
        for (const auto& item : body["precondition"])
        {
            if (rows_.contains(key_of(item)))
            {
                found["rows"].append(describe(key_of(item)));
            }
        }
        return fate == write_fate::answered ? std::optional(reply(412, found))
                                            : std::nullopt;
    }
    apply(body);
    return fate == write_fate::answered
               ? std::optional(reply(200, Json::Value(Json::objectValue)))
               : std::nullopt;
}

bool store::holds(const Json::Value& body) const
{
    for (const auto& item : body["precondition"])
    {
        const auto found = rows_.find(key_of(item));
        const auto version = found == rows_.end() ? 0 : found->second.version;
        if (item["ver"].asUInt64() != version)
        {
            return false;
        }
    }
    return true;
}

void store::apply(const Json::Value& body)
{
    ++version_;
    for (const auto& item : body["writes"])
    {
        write(key_of(item), base64_decoded(item["value"].asString()));
    }
    for (const auto& item : body["remove"])
    {
        write(key_of(item), std::nullopt);
    }
    changed_.notify_all();
    if (seen_)
    {
        seen_(body);
    }
}

void store::write(const row_key& key, std::optional<std::string> value)
{
    if (value)
    {
        rows_[key] = {std::move(*value), version_};
    }
    else if (rows_.erase(key) == 0)
    {
        return;
    }
    history_.push_back({key, version_, !rows_.contains(key)});
}

Json::Value store::describe(const row_key& key) const
{
    const auto& item = rows_.at(key);
    Json::Value result;
    result["table"] = key.first;
    result["part"] = "";
    result["key"] = key.second;
    result["value"] = base64_encoded(item.value);
    result["ver"] = static_cast<Json::UInt64>(item.version);
    return result;
}

http_response store::reply(int status, Json::Value body) const
{
    body["ver"] = static_cast<Json::UInt64>(version_);
    body["now_ms"] = static_cast<Json::Int64>(steady_ms());
    return {status, to_json_text(body)};
}

http_response store::get_rows(const std::map<std::string, std::string>& query)
{
    const auto value = [&query](const std::string& name)
    {
        const auto found = query.find(name);
        return found == query.end() ? std::string() : found->second;
    };
    const auto table = value("table");
    const auto to = value("to");
    const auto limit =
        query.contains("limit")
            ? std::min<std::size_t>(max_rows, std::stoul(value("limit")))
            : max_rows;
    const std::lock_guard lock(mutex_);
    Json::Value body(Json::objectValue);
    body["rows"] = Json::Value(Json::arrayValue);
    body["has_more"] = false;
    for (auto item = rows_.lower_bound({table, value("from")});
         item != rows_.end() && item->first.first == table &&
         (to.empty() || item->first.second < to);
         ++item)
    {
        if (body["rows"].size() >= limit)
        {
            body["has_more"] = true;
            break;
        }
        body["rows"].append(describe(item->first));
    }
    return reply(200, body);
}

http_response store::feed(const std::map<std::string, std::string>& query)
{
    const auto table = query.at("table");
    const auto after = std::stoull(query.at("after"));
    const auto wait = std::chrono::milliseconds(std::stoi(query.at("wait_ms")));
    std::unique_lock lock(mutex_);
    Json::Value body(Json::objectValue);
    body["rows"] = Json::Value(Json::arrayValue);
    const auto collect = [this, &table, after, &body]
    {
        // Only the newest change of each row is of interest.
        std::set<row_key> done;
        std::vector<Json::Value> found;
        for (auto item = history_.rbegin();
             item != history_.rend() && item->version > after;
             ++item)
        {
            if (item->key.first != table || !done.insert(item->key).second)
            {
                continue;
            }
            if (rows_.contains(item->key))
            {
                found.push_back(describe(item->key));
                continue;
            }
            Json::Value removed;
            removed["table"] = item->key.first;
            removed["part"] = "";
            removed["key"] = item->key.second;
            removed["ver"] = static_cast<Json::UInt64>(item->version);
            removed["deleted"] = true;
            found.push_back(removed);
        }
        for (auto item = found.rbegin(); item != found.rend(); ++item)
        {
            body["rows"].append(*item);
        }
        return !body["rows"].empty();
    };
    changed_.wait_for(lock, wait, collect);
    return reply(200, body);
}

} // namespace review
