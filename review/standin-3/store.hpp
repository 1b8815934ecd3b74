// Stand-in for the platform's store: rows, transactions and the change feed.
#ifndef POPLARRAMP_REVIEW_3_STORE_HPP
#define POPLARRAMP_REVIEW_3_STORE_HPP

#include "http.hpp"

#include <json/value.h>

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace review
{

// What happens to a transaction that has arrived.
enum class write_fate
{
    answered,
    // Applied later, if its condition still holds, and never answered.
    applied_late,
    // Applied at once and never answered.
    answer_lost,
};

// Public functions are thread safe.
class store
{
public:
    using row_key = std::pair<std::string, std::string>;

    store();

    std::uint16_t port() const
    {
        return listener_.port();
    }

    // Writes or removes a row as the operator or a worker does.
    void put(const std::string& table,
             const std::string& key,
             const Json::Value& value);
    void erase(const std::string& table, const std::string& key);

    // Value of a row; nothing if it does not exist.
    std::optional<std::string> get(const std::string& table,
                                   const std::string& key);

    // Decides on each transaction, by its body; called on any thread.
    void set_fate(std::function<write_fate(const Json::Value&)> fate,
                  int late_by_ms);

    // Calls `seen` for each transaction that was applied, with its body; called
    // on any thread.
    void on_applied(std::function<void(const Json::Value&)> seen);

private:
    struct row
    {
        std::string value;
        std::uint64_t version = 0;
    };

    struct change
    {
        row_key key;
        std::uint64_t version = 0;
        bool removed = false;
    };

    std::optional<http_response> handle(const http_request& request);
    std::optional<http_response> transact(const http_request& request);
    http_response get_rows(const std::map<std::string, std::string>& query);
    http_response feed(const std::map<std::string, std::string>& query);
    bool holds(const Json::Value& body) const;
    void apply(const Json::Value& body);
    void write(const row_key& key, std::optional<std::string> value);
    Json::Value describe(const row_key& key) const;
    http_response reply(int status, Json::Value body) const;

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<row_key, row> rows_;
    std::deque<change> history_;
    std::uint64_t version_ = 1;
    std::function<write_fate(const Json::Value&)> fate_;
    std::function<void(const Json::Value&)> seen_;
    int late_by_ms_ = 0;
    http_listener listener_;
};

} // namespace review

#endif
