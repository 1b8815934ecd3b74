#include "config/json_file.hpp"

#include <json/reader.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <exception>
#include <fstream>
#include <iterator>
#include <memory>
#include <vector>

namespace poplarramp
{

namespace
{

constexpr int max_depth = 32;

// An object or list that encloses the current position of the scan.
struct open_value
{
    bool is_list = false;
    int index = 0;
    std::string key;
    bool expects_key = true;
};

std::size_t end_of_comment(std::string_view text, std::size_t start)
{
    const bool line = text.substr(start, 2) == "//";
    const auto end = text.find(line ? "\n" : "*/", start + 2);
    if (end == std::string_view::npos)
    {
        return text.size();
    }
    return line ? end : end + 2;
}

std::size_t end_of_string(std::string_view text, std::size_t start)
{
    std::size_t i = start + 1;
    while (i < text.size() && text[i] != '"')
    {
        i += text[i] == '\\' ? 2 : 1;
    }
    return std::min(i + 1, text.size());
}

std::string path_of(const std::vector<open_value>& stack)
{
    std::string path;
    for (const auto& level : stack)
    {
        if (level.is_list)
        {
            path += "[" + std::to_string(level.index) + "]";
            continue;
        }
        path += path.empty() || level.key.empty() ? "" : ".";
        path += level.key;
    }
    return path;
}

// Updates the stack for one structural character.
void update_stack(char character, std::vector<open_value>& stack)
{
    if (character == '{' || character == '[')
    {
        open_value level;
        level.is_list = character == '[';
        stack.push_back(level);
        return;
    }
    if (stack.empty())
    {
        return;
    }
    if (character == '}' || character == ']')
    {
        stack.pop_back();
        return;
    }
    if (character == ':')
    {
        stack.back().expects_key = false;
    }
    if (character == ',')
    {
        ++stack.back().index;
        stack.back().expects_key = true;
    }
}

// Byte offset of a line and column, both counted from 1.
std::size_t offset_of(std::string_view text, int line, int column)
{
    std::size_t start = 0;
    for (int i = 1; i < line; ++i)
    {
        start = text.find('\n', start) + 1;
    }
    return start + static_cast<std::size_t>(column) - 1;
}

struct parser_error
{
    int line = 1;
    int column = 1;
    std::string message;
};

// First of the errors in JsonCpp's report.
parser_error first_error(const std::string& report)
{
    parser_error error;
    if (std::sscanf(report.c_str(),
                    "* Line %d, Column %d",
                    &error.line,
                    &error.column) != 2)
    {
        error.message = report;
        return error;
    }
    const auto start = report.find('\n');
    const auto end = report.find('\n', start + 1);
    error.message = report.substr(start + 1, end - start - 1);
    error.message.erase(0, error.message.find_first_not_of(' '));
    return error;
}

std::string format_parse_error(std::string_view text,
                               const std::string& file,
                               const std::string& report)
{
    const auto error = first_error(report);
    const auto offset = offset_of(text, error.line, error.column);
    const auto path = path_at(text, offset);
    std::string reason = file + ":" + std::to_string(error.line) + ":" +
                         std::to_string(error.column) + ": ";
    reason += path.empty() ? "" : path + ": ";
    reason += error.message;
    if (error.message.starts_with("Duplicate key"))
    {
        reason += "; allowed: each key once";
    }
    return reason;
}

Json::CharReaderBuilder strict_builder()
{
    Json::CharReaderBuilder builder;
    Json::CharReaderBuilder::strictMode(&builder.settings_);
    builder["allowComments"] = true;
    builder["collectComments"] = false;
    builder["allowTrailingCommas"] = false;
    builder["rejectDupKeys"] = true;
    builder["failIfExtra"] = true;
    builder["stackLimit"] = max_depth;
    return builder;
}

} // namespace

std::optional<std::string>
read_file(const std::string& file, result_code code, failure& why)
{
    std::ifstream in(file, std::ios::binary);
    std::string text{std::istreambuf_iterator<char>(in), {}};
    if (!in.is_open() || in.bad())
    {
        why = {code, file + ": " + std::strerror(errno)};
        return std::nullopt;
    }
    return text;
}

std::optional<Json::Value> parse_commented_json(std::string_view text,
                                                const std::string& file,
                                                result_code code,
                                                failure& why)
{
    const std::unique_ptr<Json::CharReader> reader(
        strict_builder().newCharReader());
    Json::Value value;
    std::string report;
    try
    {
        if (reader->parse(
                text.data(), text.data() + text.size(), &value, &report))
        {
            return value;
        }
    }
    catch (const std::exception&)
    {
        why = {code,
               file + ": nested deeper than " + std::to_string(max_depth) +
                   " levels"};
        return std::nullopt;
    }
    why = {code, format_parse_error(text, file, report)};
    return std::nullopt;
}

std::string path_at(std::string_view text, std::size_t offset)
{
    std::vector<open_value> stack;
    std::size_t i = 0;
    while (i < text.size() && i <= offset)
    {
        const char character = text[i];
        if (character == '/')
        {
            i = end_of_comment(text, i);
            continue;
        }
        if (character != '"')
        {
            update_stack(character, stack);
            ++i;
            continue;
        }
        const auto end = end_of_string(text, i);
        if (!stack.empty() && !stack.back().is_list && stack.back().expects_key)
        {
            stack.back().key = std::string(text.substr(i + 1, end - i - 2));
        }
        i = end;
    }
    return path_of(stack);
}

} // namespace poplarramp
