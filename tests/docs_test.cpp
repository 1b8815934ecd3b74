#include "base/result.hpp"
#include "config/json_file.hpp"
#include "config/settings.hpp"
#include "config/sheet_file.hpp"
#include "config/site_settings.hpp"
#include "http/json_reply.hpp"

#include <algorithm>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace poplarramp;

namespace
{

constexpr int result_code_limit = 1000;

std::string read_page(const std::string& file)
{
    failure why;
    const auto text = read_file(file, result_code::bad_request, why);
    CHECK_TEXT(text.has_value(), why.reason.c_str());
    return *text;
}

std::size_t count_of(const std::string& text, const std::string& part)
{
    std::size_t count = 0;
    for (auto at = text.find(part); at != std::string::npos;
         at = text.find(part, at + part.size()))
    {
        ++count;
    }
    return count;
}

bool is_result_code(int number)
{
    const auto code = static_cast<result_code>(number);
    return name_of(code) != "internal_error" ||
           code == result_code::internal_error;
}

// Checks that the page has one row for each key and no other rows.
void check_rows(const std::string& text, const std::vector<schema>& schemas)
{
    std::size_t keys = 0;
    for (const auto& members : schemas)
    {
        for (const auto& key : describe_keys(members))
        {
            const auto row = "\n| `" + key.path + "` | " + key.allowed + " | " +
                             key.fallback + " | ";
            CHECK_TEXT(text.find(row) != std::string::npos, row.c_str());
            ++keys;
        }
    }
    CHECK(count_of(text, "\n| `") == keys);
}

} // namespace

TEST_GROUP(docs){};

// Guards against a documentation page whose result codes or HTTP statuses
// differ from the code, and against a row for a code that no longer exists.
TEST(docs, pages_list_every_result_code)
{
    const auto text = read_page("docs/result-codes.md");
    std::size_t rows = 0;
    for (int number = 0; number < result_code_limit; ++number)
    {
        if (!is_result_code(number))
        {
            continue;
        }
        const auto code = static_cast<result_code>(number);
        const auto row = "\n| " + std::to_string(number) + " | `" +
                         std::string(name_of(code)) + "` | " +
                         std::to_string(http_status_of(code)) + " | ";
        CHECK_TEXT(text.find(row) != std::string::npos, row.c_str());
        ++rows;
    }
    CHECK(count_of(text, "\n| ") == rows + 1);
}

// Guards against a documentation page whose keys, ranges or defaults differ
// from the code.
TEST(docs, pages_list_every_key_of_settings_and_sheet)
{
    settings values;
    site_settings site;
    capacity_sheet sheet;
    check_rows(read_page("docs/settings.md"),
               {settings_schema(values),
                site_settings_schema(site),
                sheet_schema(sheet)});
}

// Guards against example files that the program rejects.
TEST(docs, examples_are_accepted)
{
    failure why;
    CHECK_TEXT(read_settings("examples/settings.jsonc", why).has_value(),
               why.reason.c_str());
    CHECK_TEXT(read_sheet("examples/sheet.jsonc", why).has_value(),
               why.reason.c_str());
}
