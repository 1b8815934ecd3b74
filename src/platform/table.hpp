// The platform's transactional table, as the product sees it.
#ifndef POPLARRAMP_PLATFORM_TABLE_HPP
#define POPLARRAMP_PLATFORM_TABLE_HPP

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
    // Pass as `after` for the next page; empty at the end.
    std::string next;
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
};

} // namespace poplarramp

#endif
