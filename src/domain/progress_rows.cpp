#include "domain/progress_rows.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

namespace poplarramp
{

namespace
{

// A row holds at most 65,536 bytes; the margin is for stores that count the key
// as well.
constexpr std::size_t max_part_bytes = 60'000;

int part_count(std::size_t size)
{
    return static_cast<int>(
        std::max<std::size_t>(1, (size + max_part_bytes - 1) / max_part_bytes));
}

bool parse_number(std::string_view text, int& number)
{
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number);
    return parsed.ec == std::errc{} && parsed.ptr == end && number >= 0;
}

} // namespace

// runs/JOB, runs/JOB/.1 for later parts of the head, runs/JOB/7 for a document
// and runs/JOB/7.1 for its later parts.
std::string progress_row_key(const progress_row_name& name)
{
    auto key = progress_prefix + name.job;
    if (name.document != head_document || name.part > 0)
    {
        key += "/";
    }
    if (name.document != head_document)
    {
        key += std::to_string(name.document);
    }
    return name.part > 0 ? key + "." + std::to_string(name.part) : key;
}

std::optional<progress_row_name> parse_progress_row_key(std::string_view key)
{
    if (!key.starts_with(progress_prefix))
    {
        return std::nullopt;
    }
    key.remove_prefix(progress_prefix.size());
    progress_row_name name;
    const auto slash = key.find('/');
    name.job = key.substr(0, slash);
    if (slash == std::string_view::npos)
    {
        return name;
    }
    const auto rest = key.substr(slash + 1);
    const auto dot = rest.find('.');
    const auto document = rest.substr(0, dot);
    const bool good =
        (document.empty() || parse_number(document, name.document)) &&
        (dot == std::string_view::npos
             ? !document.empty()
             : parse_number(rest.substr(dot + 1), name.part) && name.part > 0);
    return good ? std::optional(std::move(name)) : std::nullopt;
}

void progress_rows::add(int document, int part)
{
    auto& count = parts_[document];
    count = std::max(count, part + 1);
}

std::size_t progress_rows::entries_of(int document, std::size_t size) const
{
    const auto found = parts_.find(document);
    const int stored = found == parts_.end() ? 0 : found->second;
    return static_cast<std::size_t>(std::max(stored, part_count(size)));
}

void progress_rows::put(const std::string& job,
                        int document,
                        std::string_view text,
                        leader_batch& batch)
{
    const int count = part_count(text.size());
    for (int part = 0; part < count; ++part)
    {
        const auto start = static_cast<std::size_t>(part) * max_part_bytes;
        batch.puts.push_back({progress_row_key({job, document, part}),
                              std::string(text.substr(start, max_part_bytes))});
    }
    auto& stored = parts_[document];
    for (int part = count; part < stored; ++part)
    {
        batch.removals.push_back(progress_row_key({job, document, part}));
    }
    stored = std::max(stored, count);
}

void progress_rows::remove(const std::string& job,
                           int document,
                           leader_batch& batch) const
{
    const auto found = parts_.find(document);
    const int count = found == parts_.end() ? 0 : found->second;
    for (int part = 0; part < count; ++part)
    {
        batch.removals.push_back(progress_row_key({job, document, part}));
    }
}

void progress_rows::forget(int document)
{
    parts_.erase(document);
}

void progress_texts::add(const progress_row_name& name, std::string value)
{
    parts_[name.document][name.part] = std::move(value);
}

std::optional<std::string> progress_texts::text(int document) const
{
    const auto found = parts_.find(document);
    if (found == parts_.end())
    {
        return std::nullopt;
    }
    std::string result;
    for (const auto& [part, value] : found->second)
    {
        result += value;
    }
    return result;
}

std::vector<int> progress_texts::documents() const
{
    std::vector<int> result;
    result.reserve(parts_.size());
    for (const auto& [document, parts] : parts_)
    {
        result.push_back(document);
    }
    return result;
}

progress_rows progress_texts::rows() const
{
    progress_rows result;
    for (const auto& [document, parts] : parts_)
    {
        for (const auto& [part, value] : parts)
        {
            result.add(document, part);
        }
    }
    return result;
}

} // namespace poplarramp
