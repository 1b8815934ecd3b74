#include "policy/scheduler.hpp"

#include "policy_helpers.hpp"

#include <algorithm>
#include <map>
#include <string>
#include <tuple>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace poplarramp;
using namespace poplarramp::testing;

namespace
{

constexpr int iterations = 300;

capacity_sheet sheet_of(int servers, std::vector<guarantee> guarantees)
{
    capacity_sheet sheet;
    sheet.zones.push_back({"z", "r", {{"r0", servers, 8}}});
    for (const auto* name : {"a", "b", "c", "d"})
    {
        sheet.customers.push_back({name, 0, 1000});
    }
    sheet.guarantees = std::move(guarantees);
    return sheet;
}

job pinned(job item)
{
    item.can_stop = false;
    return item;
}

job urgent(job item)
{
    item.urgency_class = urgency::urgent;
    return item;
}

job with_deadline(job item, milliseconds after, milliseconds run)
{
    item.request.deadline = item.accepted + after;
    item.expected_run = run;
    return item;
}

// Completes enough runs of the customer for the run time to be estimated.
void record_run_time(scheduler& zone,
                     const std::string& customer,
                     milliseconds run)
{
    constexpr int runs = 5;
    for (int i = 0; i < runs; ++i)
    {
        const auto item = make_job(customer, "taught" + std::to_string(i), 1);
        const auto id = job_id(item.request);
        zone.submit(item, start - run);
        zone.decide(start - run);
        zone.on_started(id, start - run);
        zone.on_ended(id, true, start);
    }
}

// Index of the job that comes next, by a scan of all waiting jobs.
std::size_t next_by_scan(const std::vector<job>& waiting,
                         const std::map<std::string, int>& used,
                         const std::map<std::string, int>& guaranteed,
                         time_point now)
{
    const auto key = [&](std::size_t i)
    {
        const auto& item = waiting[i];
        const auto& customer = item.request.customer;
        const auto deadline = item.request.deadline;
        int order = item.urgency_class == urgency::urgent ? 0 : 2;
        const bool near =
            deadline != no_deadline &&
            deadline - item.expected_run - milliseconds(600'000) <= now;
        order = order == 2 && near ? 1 : order;
        const double share = static_cast<double>(used.at(customer)) /
                             std::max(1, guaranteed.at(customer));
        const auto last = deadline == no_deadline
                              ? item.accepted + milliseconds(86'400'000)
                              : deadline;
        return std::tuple(order, share, last, item.accepted, i);
    };
    std::size_t best = 0;
    for (std::size_t i = 1; i < waiting.size(); ++i)
    {
        best = key(i) < key(best) ? i : best;
    }
    return best;
}

} // namespace

TEST_GROUP(scheduler_rules){};

// Guards against an order other than urgency class, share of the guarantee in
// use, deadline, arrival.
TEST(scheduler_rules, order_agrees_with_a_naive_scan)
{
    test_random random(6);
    const std::map<std::string, int> guaranteed{
        {"a", 4}, {"b", 8}, {"c", 0}, {"d", 1}};
    for (int w = 0; w < iterations; ++w)
    {
        scheduler zone("z");
        zone.set_sheet(sheet_of(
            4, {{"a", "z", 4, 1}, {"b", "z", 8, 1}, {"d", "z", 1, 1}}));
        add_servers(zone, 1, 4, 8);
        std::vector<job> waiting;
        for (int i = 0; i < 20; ++i)
        {
            auto item = make_job(std::string(1, "abcd"[random.below(4)]),
                                 std::to_string(i),
                                 1,
                                 start + milliseconds(random.below(5)));
            item.urgency_class =
                random.chance(30) ? urgency::urgent : urgency::patient;
            if (random.chance(60))
            {
                item = with_deadline(item,
                                     milliseconds(random.below(4'000'000)),
                                     milliseconds(0));
            }
            if (!zone.submit(item, start))
            {
                waiting.push_back(item);
            }
        }
        std::map<std::string, int> used{{"a", 0}, {"b", 0}, {"c", 0}, {"d", 0}};
        const auto decisions = zone.decide(start);
        CHECK_EQUAL(waiting.size(), decisions.size());
        for (const auto& next : decisions)
        {
            CHECK(next.kind == decision_kind::place);
            const auto i = next_by_scan(waiting, used, guaranteed, start);
            CHECK_EQUAL(job_id(waiting[i].request), next.job_id);
            ++used[waiting[i].request.customer];
            waiting.erase(waiting.begin() + static_cast<std::ptrdiff_t>(i));
        }
    }
}

// Guards against a guarantee that is not reclaimed from a borrowed job that can
// be stopped.
TEST(scheduler_rules, guarantee_is_reclaimed_within_timeout)
{
    scheduler zone("z");
    zone.set_sheet(sheet_of(2, {{"a", "z", 8, 1}}));
    add_servers(zone, 1, 2, 8);
    for (const auto* key : {"1", "2"})
    {
        auto borrower = make_job("b", key, 8);
        borrower.can_checkpoint = true;
        zone.submit(borrower, start);
    }
    CHECK_EQUAL(2U, zone.decide(start).size());
    zone.submit(make_job("a", "1", 8), start);
    const auto decisions = zone.decide(start);
    CHECK_EQUAL(1U, decisions.size());
    CHECK(decisions[0].kind == decision_kind::preempt);
    CHECK(decisions[0].checkpoint);
    CHECK(decisions[0].deadline == start + milliseconds(2000));
    CHECK_EQUAL(std::string("a"), decisions[0].for_guarantee_of);
    CHECK(zone.decide(start).empty());
    zone.requeue(decisions[0].job_id, "", start);
    const auto placed = zone.decide(start);
    CHECK_EQUAL(1U, placed.size());
    CHECK_EQUAL(std::string("a/1"), placed[0].job_id);
    CHECK_FALSE(placed[0].borrowed);
}

// Guards against a pinned job that waits without end because the guarantees of
// others fill the availability zone, and against refusing one that fits.
TEST(scheduler_rules, pinned_job_without_capacity_never_fits)
{
    scheduler zone("z");
    zone.set_sheet(sheet_of(2, {{"a", "z", 8, 1}, {"b", "z", 4, 1}}));
    CHECK(zone.submit(pinned(make_job("c", "1", 5)), start)->code ==
          result_code::never_fits);
    CHECK(!zone.submit(pinned(make_job("c", "2", 4)), start));
    CHECK(!zone.submit(make_job("c", "3", 5), start));
    CHECK(!zone.submit(pinned(make_job("a", "1", 8)), start));
    CHECK(zone.submit(make_job("c", "4", 17), start)->code ==
          result_code::never_fits);
    CHECK_EQUAL(3, zone.queued());
    zone.set_sheet(sheet_of(2, {{"a", "z", 8, 1}, {"b", "z", 8, 1}}));
    const auto decisions = zone.decide(start);
    CHECK_EQUAL(1U, decisions.size());
    CHECK(decisions[0].kind == decision_kind::refuse);
    CHECK_EQUAL(std::string("c/2"), decisions[0].job_id);
}

// Guards against placing pinned borrowed jobs while servers are missing, and
// against delaying jobs within their guarantee.
TEST(scheduler_rules, missing_servers_delay_only_pinned_borrowers)
{
    scheduler zone("z");
    zone.set_sheet(sheet_of(3, {{"a", "z", 8, 2}}));
    add_servers(zone, 1, 1, 8);
    CHECK_FALSE(zone.guarantees_reclaimable());
    zone.submit(pinned(make_job("b", "1", 1)), start);
    CHECK(zone.decide(start).empty());
    zone.submit(make_job("a", "1", 4), start);
    const auto decisions = zone.decide(start);
    CHECK_EQUAL(1U, decisions.size());
    CHECK_FALSE(decisions[0].borrowed);
    add_servers(zone, 1, 3, 8);
    CHECK(zone.guarantees_reclaimable());
    CHECK_EQUAL(1U, zone.decide(start).size());
    CHECK(zone.guarantees_reclaimable());
}

// Guards against tasks that no longer count as within their guarantee after a
// scheduler failover, also when their servers are claimed one after the other.
TEST(scheduler_rules, adopted_tasks_keep_their_guarantee)
{
    scheduler zone("z");
    zone.set_sheet(sheet_of(3, {{"a", "z", 16, 1}, {"b", "z", 8, 1}}));
    const auto gang = pinned(make_job("a", "1", 16));
    const std::vector<placement_part> parts{{"s0", 8}, {"s1", 8}};
    for (int i = 0; i < 3; ++i)
    {
        zone.add_server(make_server(i, 3, 8));
        if (i < 2)
        {
            zone.adopt(gang, {&parts[static_cast<std::size_t>(i)], 1}, start);
        }
        zone.decide(start);
    }
    CHECK(zone.guarantees_reclaimable());
    CHECK_EQUAL(1, zone.running());
    const auto usage = zone.usage();
    CHECK_EQUAL(16, usage[0].in_guarantee);
    CHECK_EQUAL(8, usage[1].reclaimable);
    zone.on_ended("a/1", true, start);
    CHECK_EQUAL(24, zone.free_accelerators());
    CHECK_EQUAL(16, zone.usage()[0].reclaimable);
}

// Guards against a small borrowed job that takes a freed block which a job
// within its guarantee is waiting for.
TEST(scheduler_rules, small_borrower_does_not_take_freed_block)
{
    scheduler zone("z");
    zone.set_sheet(sheet_of(2, {{"a", "z", 8, 1}}));
    add_servers(zone, 1, 2, 8);
    zone.submit(make_job("a", "1", 8), start);
    CHECK_EQUAL(1U, zone.decide(start).size());
    zone.submit(make_job("a", "2", 2), start);
    zone.submit(make_job("b", "1", 6), start);
    CHECK_EQUAL(2U, zone.decide(start).size());
    zone.submit(make_job("a", "3", 8), start);
    zone.on_ended("a/1", true, start);
    const auto decisions = zone.decide(start);
    CHECK_EQUAL(1U, decisions.size());
    CHECK_EQUAL(std::string("a/3"), decisions[0].job_id);
    CHECK_FALSE(decisions[0].borrowed);
}

// Guards against shedding a job that may have run, and against shedding by the
// declared run time, which is often off by a factor of three.
TEST(scheduler_rules, sheds_only_jobs_that_were_never_placed)
{
    scheduler zone("z");
    add_servers(zone, 1, 1, 8);
    const milliseconds run(10'000);
    CHECK_FALSE(
        zone.submit(with_deadline(make_job("a", "declared", 8), run / 2, run),
                    start)
            .has_value());
    CHECK(zone.cancel("a/declared"));
    record_run_time(zone, "a", run);
    CHECK(zone.submit(with_deadline(make_job("a", "0", 8), run / 2, run), start)
              ->code == result_code::shed);
    auto tried = with_deadline(make_job("a", "3", 8), run / 2, run);
    tried.attempts.resize(1);
    CHECK(!zone.submit(tried, start));
    CHECK(zone.cancel("a/3"));
    zone.submit(with_deadline(make_job("a", "1", 8), 2 * run, run), start);
    CHECK_EQUAL(1U, zone.decide(start).size());
    zone.requeue("a/1", "", start);
    zone.set_zone_open(false);
    zone.submit(with_deadline(make_job("a", "2", 8), 2 * run, run), start);
    CHECK(zone.decide(start).empty());
    // The estimate is accurate to the width of a bin, 24%.
    const auto wake = zone.next_wake();
    CHECK(wake > start + run - run * 24 / 100);
    CHECK(wake < start + run + run * 24 / 100);
    CHECK(zone.decide(wake - milliseconds(1)).empty());
    const auto decisions = zone.decide(wake);
    CHECK_EQUAL(1U, decisions.size());
    CHECK(decisions[0].kind == decision_kind::refuse);
    CHECK(decisions[0].code == result_code::shed);
    CHECK_EQUAL(std::string("a/2"), decisions[0].job_id);
    CHECK_EQUAL(1, zone.queued());
}

// Guards against a customer that exceeds its quota or its queue limit.
TEST(scheduler_rules, quota_and_queue_are_bounded)
{
    scheduler zone("z");
    auto sheet = sheet_of(2, {});
    sheet.customers[0] = {"a", 6, 2};
    zone.set_sheet(sheet);
    add_servers(zone, 1, 2, 8);
    zone.submit(make_job("a", "1", 4), start);
    zone.submit(make_job("a", "2", 4), start);
    CHECK(zone.submit(make_job("a", "3", 1), start)->code ==
          result_code::queue_full);
    CHECK(zone.submit(make_job("a", "4", 7), start)->code ==
          result_code::never_fits);
    CHECK_EQUAL(1U, zone.decide(start).size());
    CHECK(zone.explain("a/2").find("quota") != std::string::npos);
    zone.on_ended("a/1", true, start);
    CHECK_EQUAL(1U, zone.decide(start).size());
}

// Guards against a start in a closed availability zone.
TEST(scheduler_rules, closed_zone_starts_nothing)
{
    scheduler zone("z");
    add_servers(zone, 1, 1, 8);
    zone.set_zone_open(false);
    zone.submit(urgent(make_job("a", "1", 1)), start);
    CHECK(zone.decide(start).empty());
    zone.set_zone_open(true);
    CHECK_EQUAL(1U, zone.decide(start).size());
}

// Guards against an urgent job that waits for patient borrowed jobs, and
// against preemption for a patient one.
TEST(scheduler_rules, urgent_job_preempts_patient_borrower)
{
    scheduler zone("z");
    add_servers(zone, 1, 1, 8);
    zone.submit(make_job("a", "1", 8), start);
    zone.decide(start);
    zone.submit(make_job("b", "1", 8), start);
    CHECK(zone.decide(start).empty());
    zone.submit(urgent(make_job("c", "1", 2)), start);
    const auto decisions = zone.decide(start);
    CHECK_EQUAL(1U, decisions.size());
    CHECK_EQUAL(std::string("a/1"), decisions[0].job_id);
    CHECK_EQUAL(std::string("c/1"), decisions[0].for_job);
    zone.requeue("a/1", "", start);
    CHECK_EQUAL(std::string("c/1"), zone.decide(start).front().job_id);
}

// Guards against a server that fails every task but keeps getting new ones, and
// against one that is never used again after it recovers.
TEST(scheduler_rules, failing_server_is_excluded_and_probed)
{
    scheduler zone("z");
    add_servers(zone, 1, 2, 8);
    auto now = start;
    int key = 0;
    const auto place = [&](int count)
    {
        auto item = make_job("a", std::to_string(++key), count, now);
        zone.submit(item, now);
        const auto decisions = zone.decide(now);
        return decisions.empty() ? placement_part{} : decisions[0].parts[0];
    };
    const auto id = [&]
    {
        return "a/" + std::to_string(key);
    };
    for (int i = 0; i < 3; ++i)
    {
        CHECK_EQUAL(std::string("s0"), place(1).server);
        zone.on_ended(id(), false, now);
    }
    CHECK_EQUAL(8, zone.free_accelerators());
    CHECK_EQUAL(std::string("s1"), place(1).server);
    now += milliseconds(5000);
    CHECK(zone.next_wake() == now);
    CHECK_EQUAL(std::string("s0"), place(1).server);
    const auto probe = id();
    CHECK_EQUAL(std::string("s1"), place(1).server);
    zone.on_ended(probe, false, now);
    zone.decide(now);
    CHECK(zone.next_wake() == now + milliseconds(10'000));
    now += milliseconds(10'000);
    CHECK_EQUAL(std::string("s0"), place(1).server);
    zone.on_started(id(), now);
    zone.on_ended(id(), true, now);
    CHECK_EQUAL(14, zone.free_accelerators());
}

// Guards against a job that is retried on the same failing server until its
// retries are used up.
TEST(scheduler_rules, failed_job_prefers_another_server)
{
    for (const int accelerators : {0, 2})
    {
        scheduler zone("z");
        zone.set_sheet(sheet_of(2, {{"a", "z", 4, 1}}));
        add_servers(zone, 1, 2, 8);
        zone.submit(make_job("a", "1", accelerators), start);
        const auto first = zone.decide(start).at(0).parts.at(0).server;
        zone.on_started("a/1", start);
        zone.requeue("a/1", first, start);
        const auto second = zone.decide(start).at(0).parts.at(0).server;
        CHECK(first != second);
        // Without another server the job returns to the first one.
        zone.set_schedulable(second, false);
        zone.requeue("a/1", second, start);
        CHECK_EQUAL(first, zone.decide(start).at(0).parts.at(0).server);
    }
}

// Guards against excluding servers for failures that they did not cause: a
// burst of cancellations, or one job kind that fails on every server.
TEST(scheduler_rules, healthy_servers_are_not_excluded)
{
    scheduler zone("z");
    add_servers(zone, 1, 8, 8);
    int key = 0;
    const auto fail = [&](bool cancelled)
    {
        zone.submit(make_job("a", std::to_string(++key), 8), start);
        zone.decide(start);
        const auto id = "a/" + std::to_string(key);
        if (cancelled)
        {
            CHECK_FALSE(zone.cancel(id));
        }
        zone.on_ended(id, false, start);
    };
    for (int i = 0; i < 20; ++i)
    {
        fail(true);
    }
    CHECK_EQUAL(64, zone.free_accelerators());
    for (int i = 0; i < 100; ++i)
    {
        fail(false);
    }
    CHECK(zone.free_accelerators() >= 48);
}

// Guards against using the declared run time although measured ones differ.
TEST(scheduler_rules, measured_run_times_replace_declared)
{
    scheduler zone("z");
    add_servers(zone, 1, 1, 8);
    auto now = start;
    const milliseconds declared(1000);
    const milliseconds actual(60'000);
    const auto submit = [&](int key)
    {
        auto item = make_job("a", std::to_string(key), 1, now);
        return zone.submit(with_deadline(item, 20 * declared, declared), now);
    };
    for (int i = 0; i < 10; ++i)
    {
        CHECK_FALSE(submit(i).has_value() && i < 4);
        for (const auto& placement : zone.decide(now))
        {
            zone.on_started(placement.job_id, now);
            zone.on_ended(placement.job_id, true, now + actual);
        }
        now += actual;
    }
    CHECK(submit(100)->code == result_code::shed);
}
