#include "config/sheet_check.hpp"
#include "config/sheet_file.hpp"
#include "model/codec.hpp"
#include "policy/scheduler.hpp"

#include <random>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace poplarramp;

namespace
{

// One availability zone with 2 racks of 2 backend servers of 8 accelerators.
capacity_sheet small_sheet()
{
    capacity_sheet sheet;
    sheet.zones.push_back({"z", "r", {{"r1", 2, 8}, {"r2", 2, 8}}});
    sheet.customers.push_back({"a", 0, 10});
    sheet.customers.push_back({"b", 0, 10});
    job_kind kind;
    kind.name = "k";
    kind.zones = {"z"};
    sheet.kinds.push_back(kind);
    sheet.expected.push_back({"a", "k", 1, 2.5});
    return sheet;
}

// Reason for which the sheet is rejected; empty if it is accepted.
std::string rejection_reason(const capacity_sheet& sheet)
{
    failure why;
    const auto read = parse_sheet(json_text(to_json(sheet)), "sheet", why);
    CHECK(read.has_value() == !why);
    CHECK(read.has_value() || why.code == result_code::bad_sheet);
    return why.reason;
}

std::string guarantee_rejection_reason(std::vector<guarantee> items)
{
    auto sheet = small_sheet();
    sheet.guarantees = std::move(items);
    return rejection_reason(sheet);
}

} // namespace

TEST_GROUP(sheet_file){};

// Guards against a key with different names in the sheet file and in the stored
// configuration: the output of "show config" could not be applied.
TEST(sheet_file, reads_sheet_written_by_codec)
{
    auto sheet = small_sheet();
    sheet.guarantees.push_back({"a", "z", 8, 2});
    failure why;
    const auto text = json_text(to_json(sheet));
    const auto read = parse_sheet(text, "sheet", why);
    CHECK(read.has_value());
    STRCMP_EQUAL(text.c_str(), json_text(to_json(*read)).c_str());
}

// Guards against a misspelt name that leaves a customer without its guarantee
// or a kind without an availability zone.
TEST(sheet_file, rejects_unknown_names)
{
    STRCMP_EQUAL("sheet: guarantees[0].customer: found unknown \"c\"; allowed: "
                 "a, b",
                 guarantee_rejection_reason({{"c", "z", 8, 1}}).c_str());
    STRCMP_EQUAL("sheet: guarantees[0].zone: found unknown \"y\"; allowed: z",
                 guarantee_rejection_reason({{"a", "y", 8, 1}}).c_str());
    auto sheet = small_sheet();
    sheet.kinds[0].zones = {"z", "y"};
    STRCMP_EQUAL("sheet: kinds[0].zones[1]: found unknown \"y\"; allowed: z",
                 rejection_reason(sheet).c_str());
    sheet = small_sheet();
    sheet.expected[0].kind = "l";
    STRCMP_EQUAL("sheet: expected[0].kind: found unknown \"l\"; allowed: k",
                 rejection_reason(sheet).c_str());
}

// Guards against two entries with the same name, one of which would be ignored.
TEST(sheet_file, rejects_duplicate_names)
{
    auto sheet = small_sheet();
    sheet.customers[1].name = "a";
    STRCMP_EQUAL(
        "sheet: customers[1].name: found \"a\" again; allowed: each name once",
        rejection_reason(sheet).c_str());
    sheet = small_sheet();
    sheet.zones[0].racks[1].name = "r1";
    STRCMP_EQUAL("sheet: zones[0].racks[1].name: found \"r1\" again; allowed: "
                 "each name once",
                 rejection_reason(sheet).c_str());
    CHECK(!guarantee_rejection_reason({{"a", "z", 8, 1}, {"a", "z", 8, 1}})
               .empty());
}

// Guards against a shape that placement does not support.
TEST(sheet_file, rejects_shape_that_is_not_power_of_two)
{
    STRCMP_EQUAL("sheet: guarantees[0].shape: found 6; allowed: power of two "
                 "from 1 to 256",
                 guarantee_rejection_reason({{"a", "z", 6, 1}}).c_str());
    CHECK(!guarantee_rejection_reason({{"a", "z", 512, 1}}).empty());
}

TEST_GROUP(sheet_guarantees){};

// Guards against accepting guarantees that each fit alone but not together.
TEST(sheet_guarantees, guarantees_must_fit_together)
{
    CHECK(guarantee_rejection_reason({{"a", "z", 8, 4}}).empty());
    STRCMP_EQUAL(
        "sheet: guarantees: found 5 blocks of shape 8 of which 1 (8 "
        "accelerators) do not fit in z; allowed: guarantees that the "
        "racks of z can meet together",
        guarantee_rejection_reason({{"a", "z", 8, 3}, {"b", "z", 8, 2}})
            .c_str());
}

// Guards against ignoring that the accelerators of a block must be adjacent: 4
// backend servers with 6 accelerators have 24, but hold only 4 blocks of 4.
TEST(sheet_guarantees, blocks_need_adjacent_accelerators)
{
    auto sheet = small_sheet();
    sheet.zones[0].racks = {{"r1", 4, 6}};
    sheet.guarantees = {{"a", "z", 4, 4}, {"a", "z", 2, 4}};
    CHECK(find_shortfalls(sheet, sheet.zones[0]).empty());
    sheet.guarantees = {{"a", "z", 4, 5}};
    const auto missing = find_shortfalls(sheet, sheet.zones[0]);
    CHECK(missing.size() == 1);
    CHECK(missing[0].guaranteed == 5 && missing[0].missing == 1);
}

// Guards against a shape larger than a backend server that spans racks, and
// against rejecting a shape larger than a rack that fits in the availability
// zone.
TEST(sheet_guarantees, large_shapes_span_servers_or_racks)
{
    // Each block takes two backend servers of one rack.
    CHECK(guarantee_rejection_reason({{"a", "z", 16, 2}}).empty());
    CHECK(!guarantee_rejection_reason({{"a", "z", 16, 3}}).empty());
    // The block takes both racks.
    CHECK(guarantee_rejection_reason({{"a", "z", 32, 1}}).empty());
    CHECK(!guarantee_rejection_reason({{"a", "z", 32, 1}, {"b", "z", 1, 1}})
               .empty());
    // Each rack holds one block of 8 and one of 4, not three blocks of 8 in 24.
    auto sheet = small_sheet();
    sheet.zones[0].racks = {{"r1", 3, 4}, {"r2", 3, 4}};
    sheet.guarantees = {{"a", "z", 8, 2}, {"a", "z", 4, 2}};
    CHECK(find_shortfalls(sheet, sheet.zones[0]).empty());
    sheet.guarantees = {{"a", "z", 8, 3}};
    CHECK(find_shortfalls(sheet, sheet.zones[0]).size() == 1);
}

// Guards against accepting a sheet whose guarantees the scheduler cannot meet,
// or rejecting one whose guarantees it can meet; on 300 small random sheets.
TEST(sheet_guarantees, check_agrees_with_scheduler)
{
    std::mt19937 random(1);
    const auto random_int = [&random](int min, int max)
    {
        return min + static_cast<int>(random() % (max - min + 1));
    };
    int accepted = 0;
    for (int round = 0; round < 300; ++round)
    {
        auto sheet = small_sheet();
        sheet.zones[0].racks.clear();
        for (int rack = random_int(1, 3); rack > 0; --rack)
        {
            sheet.zones[0].racks.push_back({"r" + std::to_string(rack),
                                            random_int(1, 4),
                                            random_int(0, 12)});
        }
        for (const int shape : {1, 2, 4, 8, 16, 32})
        {
            sheet.guarantees.push_back({"a", "z", shape, random_int(0, 2)});
        }
        scheduler policy("z");
        policy.set_sheet(sheet);
        for (const auto& rack : sheet.zones[0].racks)
        {
            for (int i = 0; i < rack.servers; ++i)
            {
                policy.add_server({rack.name + "-" + std::to_string(i),
                                   rack.name,
                                   rack.accelerators_per_server});
            }
        }
        const bool fits = find_shortfalls(sheet, sheet.zones[0]).empty();
        CHECK(fits == policy.guarantees_reclaimable());
        accepted += fits ? 1 : 0;
    }
    CHECK(accepted > 30 && accepted < 270);
}
