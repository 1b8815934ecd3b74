#include "config/json_file.hpp"
#include "config/settings.hpp"

#include <algorithm>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace poplarramp;

namespace
{

const std::string valid_settings = R"({
    // comment
    "vm": "durban-1", "zone": "kzn-durban",
    "listen": {"callers": "127.0.0.1:7100", "inner": "127.0.0.1:7200"},
    "platform": "127.0.0.1:7000",
    "operators": [{"name": "planner", "token": "0123456789abcdef"}],
    "traffic_threads": 3
})";

std::string replace_in_settings(const std::string& from, const std::string& to)
{
    auto text = valid_settings;
    const auto at = text.find(from);
    CHECK(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

// Reason for which the settings are rejected; empty if they are accepted.
std::string rejection_reason(const std::string& text)
{
    failure why;
    const auto result = parse_settings(text, "s.jsonc", why);
    CHECK(result.has_value() == !why);
    CHECK(result.has_value() || why.code == result_code::bad_settings);
    return why.reason;
}

void check_rejection(const std::string& text, const char* expected)
{
    STRCMP_EQUAL(expected, rejection_reason(text).c_str());
}

} // namespace

TEST_GROUP(settings_file){};

// Guards against storing a value in the wrong member or losing a default.
TEST(settings_file, reads_values_and_keeps_defaults)
{
    failure why;
    const auto item = parse_settings(valid_settings, "s.jsonc", why);
    CHECK(item.has_value());
    CHECK(item->vm == "durban-1" && item->zone == "kzn-durban");
    CHECK(item->listen.callers == "127.0.0.1:7100");
    CHECK(item->listen.inner == "127.0.0.1:7200");
    CHECK(item->platform == "127.0.0.1:7000");
    CHECK(item->operators.at(0).token == "0123456789abcdef");
    CHECK(item->traffic_threads == 3);
    CHECK(item->limits.max_waiting == limit_settings().max_waiting);
}

// Guards against silently ignoring a misspelt key.
TEST(settings_file, rejects_unknown_key)
{
    check_rejection(
        replace_in_settings("\"traffic_threads\"", "\"traffic_thread\""),
        "s.jsonc: traffic_thread: found unknown key; allowed: vm, "
        "zone, listen, platform, seeds, operators, log, "
        "traffic_threads, limits");
}

// Guards against accepting a wrong type or a value out of range, and against an
// error without path, value found or range.
TEST(settings_file, rejects_wrong_type_and_range)
{
    check_rejection(
        replace_in_settings("_threads\": 3", "_threads\": \"3\""),
        "s.jsonc: traffic_threads: found \"3\"; allowed: integer from "
        "1 to 64");
    check_rejection(
        replace_in_settings("_threads\": 3", "_threads\": 65"),
        "s.jsonc: traffic_threads: found 65; allowed: integer from 1 "
        "to 64");
    check_rejection(
        replace_in_settings("127.0.0.1:7200", "127.0.0.1:70000"),
        "s.jsonc: listen.inner: found \"127.0.0.1:70000\"; allowed: "
        "IPv4 address and port, such as 127.0.0.1:7100");
    check_rejection(replace_in_settings("\"platform\": \"127.0.0.1:7000\"",
                                        "\"platform\": {}"),
                    "s.jsonc: platform: found an object; allowed: IPv4 address "
                    "and port, such as 127.0.0.1:7100");
}

// Guards against starting a process without an address or a name.
TEST(settings_file, rejects_missing_key)
{
    check_rejection(
        replace_in_settings("\"vm\": \"durban-1\",", ""),
        "s.jsonc: vm: found nothing; allowed: letters, digits, '-', "
        "'_' and '.', 1 to 64 characters");
}

// Guards against silently using the last of two equal keys.
TEST(settings_file, rejects_duplicate_key_with_its_path)
{
    check_rejection(
        replace_in_settings("\"inner\"",
                            "\"callers\": \"127.0.0.1:1\", \"inner\""),
        "s.jsonc:4:45: listen.callers: Duplicate key: 'callers'; allowed: each "
        "key once");
}

// Guards against printing a token to logs and terminals.
TEST(settings_file, does_not_print_tokens)
{
    const auto reason =
        rejection_reason(replace_in_settings("0123456789abcdef", "secret"));
    CHECK(reason.find("secret") == std::string::npos);
    CHECK(reason.find("operators[0].token") != std::string::npos);
}

// Guards against accepting text after the settings or trailing commas, which
// indicate a truncated or badly merged file.
TEST(settings_file, rejects_json_that_is_not_strict)
{
    CHECK(!rejection_reason(valid_settings + "{}").empty());
    CHECK(!rejection_reason(
               replace_in_settings("_threads\": 3", "_threads\": 3,"))
               .empty());
    CHECK(!rejection_reason(std::string(10000, '[')).empty());
    CHECK(!rejection_reason("").empty());
}

// Guards against a reload that succeeds although the running process cannot
// apply the new value.
TEST(settings_file, reports_keys_needing_restart)
{
    settings running;
    settings reloaded;
    reloaded.platform = "127.0.0.1:1";
    reloaded.log.level = log_level::debug;
    reloaded.operators.push_back({"planner", "0123456789abcdef"});
    const auto keys = keys_needing_restart(running, reloaded);
    CHECK(keys == std::vector<std::string>{"platform"});
}

// Guards against a wrong path for a position after comments and nested values.
TEST(settings_file, finds_path_of_position)
{
    const std::string text =
        R"({"a": 1, /* } */ "b": [{"c": "\"]"}, {"d": 0}]})";
    CHECK(path_at(text, text.find('0')) == "b[1].d");
    CHECK(path_at(text, text.find('1')) == "a");
}
