// Small conversions.
#ifndef POPLARRAMP_REVIEW_3_TEXT_HPP
#define POPLARRAMP_REVIEW_3_TEXT_HPP

#include <json/value.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace review
{

// All functions are thread safe.
std::vector<std::string> split(std::string_view text, char separator);
std::string percent_decoded(std::string_view text);
std::string base64_encoded(std::string_view bytes);
std::string base64_decoded(std::string_view text);
std::string to_json_text(const Json::Value& json);
// An empty object if the text is not valid.
Json::Value parse_json_text(const std::string& text);

// Milliseconds of the monotonic clock, and since 1970.
std::int64_t steady_ms();
std::int64_t unix_ms();

void sleep_ms(std::int64_t time);

} // namespace review

#endif
