// Interface to the platform's transactional key-value table.
#ifndef POPLARRAMP_SERVICES_TABLE_HPP
#define POPLARRAMP_SERVICES_TABLE_HPP

#include "base/result.hpp"
#include "base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace poplarramp
{

// Version 0: the row is absent.
struct table_row
{
    std::string key;
    std::string value;
    std::uint64_t version = 0;
};

// Compare-and-swap: replaces the row of `expected_version`, or deletes it if
// `remove` is set.
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
// `store_unavailable`, `circuit_open`: the write had no effect.
// `answer_lost`, `timeout`: the write may have taken effect; read it back.
struct table_write_reply
{
    failure error;
    // New versions of the rows, in the order of the changes.
    std::vector<std::uint64_t> versions;
};

struct table_scan_reply
{
    failure error;
    // Sorted by key.
    std::vector<table_row> rows;
    // Table version of this page, if the store has one version counter for all
    // rows. Pass it to `watch` to get later changes.
    std::uint64_t version = 0;
    // Pass as `after_key` for the next page; empty at the end.
    std::string next;
};

// Precondition of a transaction: the row has this version; 0: it is absent.
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

// The value of a row is at most this long.
constexpr std::size_t max_row_bytes = 65'536;

// True if a repetition of the refused transaction cannot succeed. Thread safe.
inline bool is_permanent_refusal(const failure& error)
{
    return error.code == result_code::bad_request ||
           error.code == result_code::body_too_large;
}

// Writes that are applied atomically if all checks hold.
struct table_transaction
{
    std::vector<table_check> checks;
    std::vector<table_put> puts;
    std::vector<std::string> removals;
};

// Errors as in `table_write_reply`. After `timeout` or `answer_lost` the
// transaction may take effect seconds later, if its checks hold then.
// `bad_request`, `body_too_large`: nothing was written, and the same
// transaction will always be refused.
struct table_transact_reply
{
    failure error;
    // New version of every row written.
    std::uint64_t version = 0;
    // On `conflict`: the current rows of the checks; absent rows are left out.
    std::vector<table_row> found;
};

struct table_row_change
{
    table_row row;
    bool removed = false;
};

// `not_found`: the store has dropped the changes after the version; scan again.
struct table_watch_reply
{
    failure error;
    // Sorted by version.
    std::vector<table_row_change> changes;
    // Pass as `after_version` in the next call.
    std::uint64_t version = 0;
};

// Each function calls its completion callback `done` exactly once, on the
// control thread, after the function has returned and no later than `deadline`.
// Writes are atomic: all changes take effect or none does.
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
    // Returns up to `limit` rows whose key has the prefix and is greater than
    // `after_key`; empty: from the first row.
    std::function<void(std::string prefix,
                       std::string after_key,
                       int limit,
                       time_point deadline,
                       std::function<void(table_scan_reply)> done)>
        scan;
    // `transact` and `watch` are empty if the store does not support them.
    std::function<void(table_transaction change,
                       time_point deadline,
                       std::function<void(table_transact_reply)> done)>
        transact;
    // Long poll for the changes of rows with the prefix after `after_version`.
    // The store replies after `wait` if there is none, so `deadline` must allow
    // for that wait.
    std::function<void(std::string prefix,
                       std::uint64_t after_version,
                       milliseconds wait,
                       time_point deadline,
                       std::function<void(table_watch_reply)> done)>
        watch;
};

} // namespace poplarramp

#endif
