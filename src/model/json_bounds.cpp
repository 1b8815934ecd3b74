#include "model/json_bounds.hpp"

#include <string>

namespace poplarramp
{

namespace
{

bool exceeded(failure& why, const std::string& what, std::size_t bound)
{
    why = {result_code::bad_request,
           "the document has more than " + std::to_string(bound) + " " + what};
    return false;
}

// Position of the closing quote, or the end of the text.
std::size_t end_of_string(std::string_view text, std::size_t begin)
{
    auto at = text.find_first_of("\"\\", begin);
    while (at != std::string_view::npos && text[at] == '\\')
    {
        at = text.find_first_of("\"\\", at + 2);
    }
    return at == std::string_view::npos ? text.size() : at;
}

} // namespace

bool check_bounds(std::string_view text,
                  const json_bounds& bounds,
                  failure& why)
{
    std::size_t depth = 0;
    std::size_t fields = 0;
    std::size_t elements = 0;
    for (auto at = text.find_first_of("\"{}[],:"); at < text.size();
         at = text.find_first_of("\"{}[],:", at + 1))
    {
        switch (text[at])
        {
        case '"':
        {
            const auto end = end_of_string(text, at + 1);
            if (end - at - 1 > bounds.max_string_bytes)
            {
                return exceeded(
                    why, "bytes in one string", bounds.max_string_bytes);
            }
            at = end;
            break;
        }
        case '{':
        case '[':
            if (++depth > bounds.max_depth)
            {
                return exceeded(why, "levels of nesting", bounds.max_depth);
            }
            ++elements;
            break;
        case '}':
        case ']':
            depth -= depth > 0 ? 1 : 0;
            break;
        case ',':
            ++elements;
            break;
        default:
            ++fields;
        }
        if (fields > bounds.max_fields)
        {
            return exceeded(why, "fields", bounds.max_fields);
        }
        if (elements > bounds.max_elements)
        {
            return exceeded(why, "elements", bounds.max_elements);
        }
    }
    return true;
}

} // namespace poplarramp
