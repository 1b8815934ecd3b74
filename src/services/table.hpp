// The platform's transactional table, as the product sees it.
#ifndef POPLARRAMP_SERVICES_TABLE_HPP
#define POPLARRAMP_SERVICES_TABLE_HPP

#include "base/result.hpp"
#include "base/time.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace poplarramp
{

// Version 0 stands for an absent row.
struct table_row
{
    std::string key;
    std::string value;
    std::uint64_t version = 0;
};

// A row that replaces the one of `expected_version`; `remove` deletes it.
struct table_change
{
    std::string key;
    std::string value;
    std::uint64_t expected_version = 0;
    bool remove = false;
};

struct table_read_reply
{
    failure error;
    // Version 0 if the row is absent.
    table_row row;
};

// `conflict`: another version was found and nothing was written.
// `store_unavailable`, `circuit_open`: the call was not made.
// `answer_lost`, `timeout`: the write may have taken effect; read back.
struct table_write_reply
{
    failure error;
    // New versions, in the order of the changes.
    std::vector<std::uint64_t> versions;
};

struct table_scan_reply
{
    failure error;
    // In the order of the keys.
    std::vector<table_row> rows;
    // Version of the table that the page shows; where the store has one counter
    // for all rows. Pass to `watch` to see later changes.
    std::uint64_t version = 0;
    // Pass as `after` for the next page; empty at the end.
    std::string next;
};

// A row that must have a version; 0: it must be absent.
struct table_check
{
    std::string key;
    std::uint64_t version = 0;
};

struct table_put
{
    std::string key;
    std::string value;
};

// Writes that take effect together if all checks hold.
struct table_transaction
{
    std::vector<table_check> checks;
    std::vector<table_put> puts;
    std::vector<std::string> removals;
};

// Errors as in `table_write_reply`. After `timeout` or `answer_lost` the
// transaction may take effect seconds later, if its checks hold then.
struct table_transact_reply
{
    failure error;
    // Version of all rows written.
    std::uint64_t version = 0;
    // On `conflict`: the rows of the checks that exist, as they are now.
    std::vector<table_row> found;
};

struct table_row_change
{
    table_row row;
    bool removed = false;
};

// `not_found`: the changes after the version are no longer known; scan again.
struct table_watch_reply
{
    failure error;
    // In the order of their versions.
    std::vector<table_row_change> changes;
    // Pass as `after` in the next call.
    std::uint64_t version = 0;
};

// Each hook calls `done` exactly once, on the control thread, never before it
// returns. All changes of a write take effect or none does.
struct table
{
    std::function<void(std::string key,
                       time_point deadline,
                       std::function<void(table_read_reply)> done)>
        read;
    std::function<void(std::vector<table_change> changes,
                       time_point deadline,
                       std::function<void(table_write_reply)> done)>
        write;
    std::function<void(std::string prefix,
                       std::string after,
                       int limit,
                       time_point deadline,
                       std::function<void(table_scan_reply)> done)>
        scan;
    // The last two are empty where the store does not offer them.
    std::function<void(table_transaction change,
                       time_point deadline,
                       std::function<void(table_transact_reply)> done)>
        transact;
    // Changes of rows with a prefix after a version. Without a change the reply
    // comes after `wait`.
    std::function<void(std::string prefix,
                       std::uint64_t after,
                       milliseconds wait,
                       time_point deadline,
                       std::function<void(table_watch_reply)> done)>
        watch;
};

} // namespace poplarramp

#endif
