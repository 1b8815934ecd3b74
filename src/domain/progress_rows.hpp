// Rows that hold the progress of one job: a head row, and one document for each
// open repetition of a recurring job. A document that is too long for one row
// is stored in parts.
#ifndef POPLARRAMP_DOMAIN_PROGRESS_ROWS_HPP
#define POPLARRAMP_DOMAIN_PROGRESS_ROWS_HPP

#include "domain/leadership.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace poplarramp
{

const std::string progress_prefix = "runs/";

// Number of the document in the head row; the others have the number of their
// repetition.
constexpr int head_document = -1;

struct progress_row_name
{
    std::string job;
    int document = head_document;
    int part = 0;
};

// Builds and parses the key of a progress row. The parser returns nothing for
// any other key. Thread safe.
std::string progress_row_key(const progress_row_name& name);
std::optional<progress_row_name> parse_progress_row_key(std::string_view key);

// The rows of one job that may exist. Not thread safe.
class progress_rows
{
public:
    // Records that the row exists.
    void add(int document, int part);

    // Number of entries that `put` adds to a transaction for a text of this
    // size.
    std::size_t entries_of(int document, std::size_t size) const;

    // Adds the writes of a document to the batch. Rows of former, longer texts
    // are removed.
    void put(const std::string& job,
             int document,
             std::string_view text,
             leader_batch& batch);

    // Adds the removal of a document to the batch. The rows count as existing
    // until `forget` is called.
    void
    remove(const std::string& job, int document, leader_batch& batch) const;
    void forget(int document);

    // Number of parts of each document that may exist, by its number.
    const std::map<int, int>& parts() const
    {
        return parts_;
    }

private:
    std::map<int, int> parts_;
};

// Texts of the rows of one job, as read from the table.
class progress_texts
{
public:
    void add(const progress_row_name& name, std::string value);

    // All parts of a document, joined; nothing if there is none.
    std::optional<std::string> text(int document) const;

    // Numbers of the documents.
    std::vector<int> documents() const;

    progress_rows rows() const;

private:
    std::map<int, std::map<int, std::string>> parts_;
};

} // namespace poplarramp

#endif
