#include "entry/target.hpp"

#include <charconv>

namespace poplarramp
{

namespace
{

std::vector<std::string> split(std::string_view text, char separator)
{
    std::vector<std::string> parts;
    while (!text.empty())
    {
        const auto end = text.find(separator);
        parts.emplace_back(text.substr(0, end));
        if (end == std::string_view::npos)
        {
            break;
        }
        text.remove_prefix(end + 1);
    }
    return parts;
}

std::vector<std::string> segments_of(std::string_view path)
{
    if (path.starts_with('/'))
    {
        path.remove_prefix(1);
    }
    return split(path, '/');
}

} // namespace

request_target parse_target(std::string_view target)
{
    request_target result;
    const auto query_start = target.find('?');
    result.segments = segments_of(target.substr(0, query_start));
    if (query_start == std::string_view::npos)
    {
        return result;
    }
    for (const auto& part : split(target.substr(query_start + 1), '&'))
    {
        const auto equals = part.find('=');
        const auto value =
            equals == std::string::npos ? "" : part.substr(equals + 1);
        result.query[part.substr(0, equals)] = value;
    }
    return result;
}

std::optional<std::vector<std::string>> match_path(std::string_view pattern,
                                                   const request_target& target)
{
    const auto pattern_segments = segments_of(pattern);
    if (pattern_segments.size() != target.segments.size())
    {
        return std::nullopt;
    }
    std::vector<std::string> values;
    for (std::size_t i = 0; i < pattern_segments.size(); ++i)
    {
        if (pattern_segments[i] == "{}")
        {
            values.push_back(target.segments[i]);
        }
        else if (pattern_segments[i] != target.segments[i])
        {
            return std::nullopt;
        }
    }
    return values;
}

std::optional<std::uint64_t> query_number(const request_target& target,
                                          const std::string& key,
                                          std::uint64_t fallback)
{
    const auto found = target.query.find(key);
    if (found == target.query.end())
    {
        return fallback;
    }
    std::uint64_t value = 0;
    const auto* end = found->second.data() + found->second.size();
    const auto read = std::from_chars(found->second.data(), end, value);
    if (read.ec != std::errc() || read.ptr != end)
    {
        return std::nullopt;
    }
    return value;
}

} // namespace poplarramp
