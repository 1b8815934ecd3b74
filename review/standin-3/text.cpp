#include "text.hpp"

#include <json/reader.h>
#include <json/writer.h>

#include <chrono>
#include <memory>
#include <thread>

namespace review
{

namespace
{

constexpr std::string_view digits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
constexpr unsigned bits_per_digit = 6;
constexpr unsigned bits_per_byte = 8;
constexpr unsigned digit_mask = 63;
constexpr unsigned byte_mask = 255;
constexpr std::size_t digits_per_group = 4;

} // namespace

std::vector<std::string> split(std::string_view text, char separator)
{
    std::vector<std::string> parts;
    while (!text.empty())
    {
        const auto end = std::min(text.find(separator), text.size());
        parts.emplace_back(text.substr(0, end));
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return parts;
}

std::string percent_decoded(std::string_view text)
{
    constexpr int hexadecimal = 16;
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        if (text[i] == '%' && i + 2 < text.size())
        {
            const std::string code(text.substr(i + 1, 2));
            result += static_cast<char>(std::stoi(code, nullptr, hexadecimal));
            i += 2;
        }
        else
        {
            result += text[i];
        }
    }
    return result;
}

std::string base64_encoded(std::string_view bytes)
{
    std::string result;
    unsigned bits = 0;
    unsigned count = 0;
    for (const char byte : bytes)
    {
        bits = (bits << bits_per_byte) | static_cast<unsigned char>(byte);
        count += bits_per_byte;
        while (count >= bits_per_digit)
        {
            count -= bits_per_digit;
            result += digits[(bits >> count) & digit_mask];
        }
    }
    if (count > 0)
    {
        result += digits[(bits << (bits_per_digit - count)) & digit_mask];
    }
    while (result.size() % digits_per_group != 0)
    {
        result += '=';
    }
    return result;
}

std::string base64_decoded(std::string_view text)
{
    std::string result;
    unsigned bits = 0;
    unsigned count = 0;
    for (const char digit : text)
    {
        const auto value = digits.find(digit);
        if (value == std::string_view::npos)
        {
            break;
        }
        bits = (bits << bits_per_digit) | static_cast<unsigned>(value);
        count += bits_per_digit;
        if (count >= bits_per_byte)
        {
            count -= bits_per_byte;
            result += static_cast<char>((bits >> count) & byte_mask);
        }
    }
    return result;
}

std::string to_json_text(const Json::Value& json)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, json);
}

Json::Value parse_json_text(const std::string& text)
{
    const Json::CharReaderBuilder builder;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    Json::Value json;
    const bool good =
        reader->parse(text.data(), text.data() + text.size(), &json, nullptr);
    return good && json.isObject() ? json : Json::Value(Json::objectValue);
}

std::int64_t steady_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

std::int64_t unix_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

void sleep_ms(std::int64_t time)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(time));
}

} // namespace review
