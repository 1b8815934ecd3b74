// Stand-in for the platform's metadata store: rows, transactions and the feed
// of changes, with the limits of PROTOCOL.md.
#ifndef POPLARRAMP_REVIEW_STORE_HPP
#define POPLARRAMP_REVIEW_STORE_HPP

#include "base/time.hpp"
#include "http/message.hpp"
#include "http/server.hpp"
#include "review/standin/record.hpp"

#include <boost/asio/io_context.hpp>
#include <json/value.h>

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace poplarramp::review
{

// Used on the control thread only.
class store
{
public:
    // Throws std::runtime_error if the port cannot be opened.
    store(boost::asio::io_context& traffic,
          boost::asio::io_context& control,
          std::uint16_t port,
          record& log);

    // Answers the feeds that are due. To be called every few milliseconds.
    void tick();

    // The open connections that wait for changes of the table go silent for
    // good; new ones work.
    void silence_feeds(const std::string& table);

    // Writes or removes a row as the operator or a worker does.
    void put(const std::string& table,
             const std::string& key,
             const Json::Value& value);
    void remove(const std::string& table, const std::string& key);

private:
    using respond_hook = std::function<void(http_response)>;
    // Table and key.
    using row_key = std::pair<std::string, std::string>;
    using query_map = std::map<std::string, std::string>;

    struct row
    {
        // Base64.
        std::string value;
        std::uint64_t version = 0;
    };

    struct change
    {
        row_key key;
        row content;
        bool deleted = false;
    };

    struct feed
    {
        std::string table;
        std::uint64_t after = 0;
        time_point deadline{};
        respond_hook respond;
    };

    void serve(const http_request& request, respond_hook respond);
    http_response get(const query_map& query) const;
    http_response transact(const http_request& request);
    // What makes the call invalid; nothing if it is valid.
    std::optional<std::string> defect_of(const Json::Value& call,
                                         std::size_t bytes) const;
    bool holds(const Json::Value& condition) const;
    void write(const row_key& key, std::string value, std::uint64_t version);
    void erase(const row_key& key, std::uint64_t version);
    std::optional<http_response> answer(const feed& call, bool late) const;
    Json::Value describe(const row_key& key, const row& content) const;
    http_response with_rows(Json::Value rows, int status, bool more) const;

    record& log_;
    std::unique_ptr<http_server> server_;
    std::map<row_key, row> rows_;
    std::vector<change> history_;
    std::uint64_t version_ = 0;
    std::list<feed> feeds_;
};

} // namespace poplarramp::review

#endif
