#include "report/burn.hpp"
#include "report/histogram.hpp"
#include "report/metrics.hpp"

#include <array>
#include <cmath>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace poplarramp;

namespace
{

constexpr time_point start{milliseconds(100'000'000)};

} // namespace

TEST_GROUP(report){};

// Guards against a quantile that is wrong by more than one bucket.
TEST(report, quantile_is_within_its_bucket)
{
    time_histogram times;
    for (int i = 1; i <= 1000; ++i)
    {
        times.record(milliseconds(i));
    }
    const auto median = times.quantile(0.5).count();
    CHECK(median >= 500 && median <= 900);
    CHECK(time_histogram().quantile(0.99) == milliseconds(0));
}

// Guards against dropping a time of 0 ms, which has no logarithm.
TEST(report, zero_time_is_counted)
{
    time_histogram times;
    times.record(milliseconds(0));
    std::string text;
    times.append_prometheus(text, "x_seconds", "");
    const std::string first_bucket = text.substr(0, text.find('\n'));
    CHECK(first_bucket.ends_with("\"} 1"));
    CHECK(text.find("x_seconds_count 1") != std::string::npos);
}

// Guards against a label value that makes the metrics page invalid.
TEST(report, label_values_are_escaped)
{
    metrics page;
    page.record({"a\"b", "tint", "z", result_code::shed, milliseconds(1)});
    CHECK(page.prometheus().find("customer=\"a\\\"b\"") != std::string::npos);
}

// Guards against counting jobs in the wrong window of the burn rate.
TEST(report, short_window_excludes_old_failures)
{
    burn_counter burn;
    burn.record("c", "z", "check", 0.9, false, start);
    burn.record("c", "z", "check", 0.9, true, start + milliseconds(600'000));
    const auto rows = burn.rows(start + milliseconds(600'000));
    CHECK(rows.size() == 1);
    CHECK(rows[0].short_bad == 0 && rows[0].short_good == 1);
    CHECK(rows[0].long_bad == 1);
    CHECK(std::abs(burn_rate(1, 1, 0.9) - 5.0) < 1e-9);
}

// Guards against listing the rows of two entry VMs separately instead of adding
// them.
TEST(report, rows_of_entry_vms_are_added)
{
    const std::array parts{
        std::vector<burn_row>{{"c", "z", "check", 0.9, 1, 2, 3, 4}},
        std::vector<burn_row>{{"c", "z", "check", 0.9, 1, 0, 1, 0}}};
    const auto rows = merge_rows(parts);
    CHECK(rows.size() == 1);
    CHECK(rows[0].short_good == 2 && rows[0].long_bad == 4);
}

// Guards against a customer name that injects markup into the HTML report.
TEST(report, html_is_escaped)
{
    const std::array rows{burn_row{"<script>", "z", "check", 0.9, 1, 0, 1, 0}};
    CHECK(burn_html(rows).find("<script>") == std::string::npos);
}
