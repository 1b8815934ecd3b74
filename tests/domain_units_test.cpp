// Unit tests of the domain scheduler's data types, without store and servers.
#include "domain/job_directory.hpp"
#include "domain/job_progress.hpp"
#include "domain/lease_clock.hpp"
#include "domain/row_watcher.hpp"
#include "domain/run_lifecycle.hpp"
#include "domain/scan_pace.hpp"
#include "domain/server_registry.hpp"
#include "model/codec.hpp"
#include "model/step_job_codec.hpp"
#include "policy/fit_cache.hpp"
#include "policy/step_placement.hpp"

#include <algorithm>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace poplarramp;

namespace
{

time_point at(int ms)
{
    return time_point(milliseconds(ms));
}

step_job job_of(int tasks, bool gang, int attempts = 2)
{
    step_job job;
    job.id = "0011";
    job.customer = "bead";
    job.queue = "q";
    job.service = "svc";
    job.policy.max_attempts = attempts;
    step_spec step;
    step.tasks = tasks;
    step.need = {1000, 1000, 4};
    step.gang = gang;
    job.spec.steps.push_back(step);
    return job;
}

run_id run_of(int index, int attempt)
{
    return {{"0011", 0, 0, index}, attempt};
}

candidate_server
server_of(const std::string& id, const std::string& rack, int accelerators)
{
    candidate_server server;
    server.id = id;
    server.rack = rack;
    server.service = "svc";
    server.capacity = {64000, 262144, 8};
    server.free = {64000, 262144, accelerators};
    return server;
}

placement_request request_for(const step_spec& step)
{
    placement_request request;
    request.step = &step;
    request.service = "svc";
    request.tasks = step.tasks;
    request.remote_slowdown = 3;
    return request;
}

} // namespace

TEST_GROUP(run_lifecycle){};

// Guards against abandoning a run while an order may still start it. Checks the
// resolution for each phase and event.
TEST(run_lifecycle, each_phase_and_event)
{
    const auto lifecycle = [](run_phase phase)
    {
        run_lifecycle item;
        item.phase = phase;
        item.listable_since = at(100);
        return item;
    };
    auto starting = lifecycle(run_phase::starting);
    CHECK(starting.on_start_reply(order_outcome::refused, at(1)) ==
          run_resolution::drop);
    auto unconfirmed = lifecycle(run_phase::starting);
    CHECK(unconfirmed.on_start_reply(order_outcome::unknown, at(150)) ==
          run_resolution::keep);
    CHECK(unconfirmed.phase == run_phase::unconfirmed);
    // The refusal of a repeated order does not resolve the first order.
    CHECK(unconfirmed.on_start_reply(order_outcome::refused, at(160)) ==
          run_resolution::keep);
    CHECK(unconfirmed.on_not_listed(at(140)) == run_resolution::keep);
    CHECK(unconfirmed.on_not_listed(at(200)) ==
          run_resolution::resolve_by_stop);
    CHECK(lifecycle(run_phase::running).on_not_listed(at(99)) ==
          run_resolution::keep);
    CHECK(lifecycle(run_phase::running).on_not_listed(at(101)) ==
          run_resolution::drop);
    CHECK(lifecycle(run_phase::starting).on_not_listed(at(101)) ==
          run_resolution::keep);
    auto stopping = lifecycle(run_phase::running);
    CHECK(stopping.on_stop_requested() == run_resolution::keep);
    CHECK(stopping.on_not_listed(at(101)) == run_resolution::keep);
    stopping.on_stop_reply(order_outcome::unknown, at(110));
    CHECK(stopping.on_not_listed(at(120)) == run_resolution::keep);
    stopping.on_stop_reply(order_outcome::done, at(130));
    CHECK(stopping.on_not_listed(at(125)) == run_resolution::keep);
    CHECK(stopping.on_not_listed(at(131)) == run_resolution::drop);
    CHECK(lifecycle(run_phase::placing).on_stop_requested() ==
          run_resolution::drop);
}

TEST_GROUP(lease_clock){};

// Guards against restarting a task before its lease has expired on a server
// with a slow clock.
TEST(lease_clock, expires_only_after_margin_for_slow_clock)
{
    lease_clock lease;
    CHECK(lease.all_expired(at(0)));
    lease.record_clock(50'000, at(1000));
    lease.grant(55'000);
    lease.grant(52'000);
    CHECK(!lease.all_expired(at(6000)));
    // 5,000 ms on a clock that is 2% slow last 5,103 ms here.
    CHECK(!lease.all_expired(at(6103)));
    CHECK(lease.all_expired(at(6600)));
    CHECK_EQUAL(50'500, *lease.estimate(at(1500)));
}

// Guards against ignoring leases that an earlier leader may have granted.
TEST(lease_clock, waits_for_assumed_leases)
{
    lease_clock lease;
    lease.assume_lease_until(at(9000));
    CHECK(!lease.all_expired(at(8999)));
    CHECK(lease.all_expired(at(9000)));
}

TEST_GROUP(server_registry){};

// Guards against a first registration that clears assumed leases, and against
// dropping a run whose order is in flight and may reach the next incarnation.
TEST(server_registry, registration_keeps_leases_and_orders_in_flight)
{
    server_registry registry;
    registry.set_unknown_server_lease(at(5000));
    server_registration entry;
    entry.id = "s";
    entry.incarnation = 10;
    int dead = 0;
    const auto on_dead = [&dead](const run_id&, const server_run&)
    {
        ++dead;
    };
    std::size_t lost = 0;
    const auto on_lost = [&lost](const std::map<run_id, server_run>& runs)
    {
        lost = runs.size();
    };
    registry.register_server(entry, at(0), on_lost, on_dead);
    CHECK(!registry.find("s")->lease.all_expired(at(4000)));
    server_run old;
    old.lifecycle.phase = run_phase::running;
    server_run fresh = old;
    fresh.ordered_at = at(20'000);
    registry.find("s")->runs[run_of(0, 1)] = old;
    registry.find("s")->runs[run_of(1, 1)] = fresh;
    entry.incarnation = 20;
    registry.register_server(entry, at(21'000), on_lost, on_dead);
    CHECK_EQUAL(2U, lost);
    CHECK_EQUAL(1, dead);
    CHECK_EQUAL(1U, registry.find("s")->runs.size());
    CHECK(registry.find("s")->runs.begin()->second.lifecycle.phase ==
          run_phase::unconfirmed);
}

TEST_GROUP(crash_evidence){};

TEST_GROUP(job_progress){};

// Guards against counting a gang failure once per member: the job would fail
// before it has used its attempts. Also checks that it gets no extra attempt.
TEST(job_progress, gang_failure_counts_once_per_attempt)
{
    job_progress progress(job_of(3, true));
    progress.open_due_repetitions(0);
    for (int attempt = 1; attempt <= 2; ++attempt)
    {
        CHECK_EQUAL(3U, progress.ready_tasks(0, 0).size());
        CHECK_EQUAL(attempt, progress.next_attempt(0, 0, {0, 1, 2}));
        for (int i = 0; i < 3; ++i)
        {
            progress.place(run_of(i, attempt), {"s", 1});
        }
        const auto first =
            progress.record_end(run_of(0, attempt), run_outcome::failed, "");
        CHECK_EQUAL(attempt == 2, first.job_failed);
        CHECK(progress.ready_tasks(0, 0).empty());
        progress.record_end(run_of(1, attempt), run_outcome::failed, "");
        progress.record_end(run_of(2, attempt), run_outcome::gang_ended, "");
    }
    CHECK(progress.state() == step_job_state::failed);
    CHECK(progress.ready_tasks(0, 0).empty());
}

// Guards against rerunning a finished task when an older run of it succeeded.
TEST(job_progress, success_of_older_run_completes_task)
{
    job_progress progress(job_of(1, false));
    progress.open_due_repetitions(0);
    progress.place(run_of(0, 1), {"a", 1});
    progress.remove_placement(run_of(0, 1), "");
    progress.place(run_of(0, 2), {"b", 1});
    CHECK(progress.record_end(run_of(0, 1), run_outcome::done, "").completed);
    CHECK(progress.state() == step_job_state::completed);
    CHECK(!progress.record_end(run_of(0, 2), run_outcome::failed, "").applied);
}

// Guards against an extra attempt for a failure that is listed late, and
// against counting an attempt twice if its end is listed again, also to a new
// leader.
TEST(job_progress, late_failure_counts_once)
{
    const auto job = job_of(1, false);
    job_progress progress(job);
    progress.open_due_repetitions(0);
    progress.place(run_of(0, 1), {"a", 1});
    progress.remove_placement(run_of(0, 1), "");
    progress.place(run_of(0, 2), {"b", 1});
    const auto record_failure = [](job_progress& target, int attempt)
    {
        return target.record_end(run_of(0, attempt), run_outcome::failed, "");
    };
    CHECK(record_failure(progress, 1).applied);
    job_progress copy(job);
    failure why;
    CHECK(copy.read(progress.to_text(), why));
    for (auto* target : {&progress, &copy})
    {
        CHECK(!record_failure(*target, 1).applied);
        CHECK(target->state() == step_job_state::running);
        CHECK(record_failure(*target, 2).job_failed);
    }
    // A cancelled job stays cancelled.
    job_progress cancelled(job);
    cancelled.open_due_repetitions(0);
    cancelled.place(run_of(0, 2), {"a", 1});
    record_failure(cancelled, 1);
    cancelled.cancel();
    CHECK(!record_failure(cancelled, 2).job_failed);
    CHECK(cancelled.state() == step_job_state::cancelled);
}

// Guards against a gang that starts while the end of its last attempt is
// unknown, also under a new leader, and one that waits once the end is known.
TEST(job_progress, gang_waits_for_unlisted_end)
{
    const auto job = job_of(2, true);
    job_progress progress(job);
    progress.open_due_repetitions(0);
    const auto begin_attempt = [&progress](int attempt)
    {
        progress.place(run_of(0, attempt), {"a", 7});
        progress.place(run_of(1, attempt), {"b", 7});
    };
    begin_attempt(1);
    progress.await_end(run_of(0, 1));
    progress.record_end(run_of(1, 1), run_outcome::gang_ended, "");
    CHECK_EQUAL(2U, progress.ready_tasks(0, 0).size());
    begin_attempt(2);
    progress.record_end(run_of(0, 2), run_outcome::failed, "");
    progress.record_end(run_of(1, 2), run_outcome::gang_ended, "");
    job_progress copy(job);
    failure why;
    CHECK(copy.read(progress.to_text(), why));
    STRCMP_EQUAL(progress.to_text().c_str(), copy.to_text().c_str());
    CHECK_EQUAL(1U, copy.awaited_runs().size());
    CHECK(copy.ready_tasks(0, 0).empty());
    CHECK(progress.ready_tasks(0, 0).empty());
    CHECK(copy.record_end(run_of(0, 1), run_outcome::failed, "").job_failed);
    CHECK(progress.remove_placement(run_of(0, 1), ""));
    CHECK_EQUAL(2U, progress.ready_tasks(0, 0).size());
}

// Guards against counting a failure again that an earlier program has counted,
// whose rows do not name the attempts.
TEST(job_progress, reads_failures_without_numbers)
{
    job_progress progress(job_of(2, true));
    failure why;
    CHECK(progress.read(
        R"({"open":{"0":[{"gang_failures":1,"failed_attempt":2,"tasks":[)"
        R"([0,2,1,"",0,""],[1,2,0,"",0,""]]}]},"opened":1})",
        why));
    CHECK(!progress.record_end(run_of(1, 2), run_outcome::failed, "").applied);
    CHECK(
        progress.record_end(run_of(1, 3), run_outcome::failed, "").job_failed);
    const std::string bad = R"({"open":{"0":[{"gang_failures":1,)";
    CHECK(!job_progress(job_of(2, true))
               .read(bad + R"("failed_attempts":[2,1]}]}})", why));
    CHECK(!job_progress(job_of(2, true))
               .read(bad + R"("unlisted":[[2,1,"a",7]]}]}})", why));
}

// Guards against a late report of an earlier run that replaces the checkpoint
// of the current one, whose work would be done again.
TEST(job_progress, late_end_of_long_running_step_keeps_checkpoint)
{
    auto job = job_of(1, false);
    job.spec.steps[0].long_running = true;
    job.spec.steps[0].checkpoints = true;
    job_progress progress(job);
    progress.open_due_repetitions(0);
    progress.place(run_of(0, 1), {"a", 1});
    progress.remove_placement(run_of(0, 1), "old");
    progress.place(run_of(0, 2), {"b", 1});
    progress.save_checkpoint(run_of(0, 2), "new");
    CHECK(
        !progress.record_end(run_of(0, 1), run_outcome::done, "older").applied);
    STRCMP_EQUAL("new", progress.task(run_of(0, 2).task)->checkpoint.c_str());
}

// Guards against progress that changes when a new leader reads it from its row.
TEST(job_progress, round_trip_through_row)
{
    auto job = job_of(4, false);
    job.spec.steps.push_back(job.spec.steps[0]);
    job.spec.steps[1].after = {0};
    job_progress progress(job);
    progress.open_due_repetitions(0);
    progress.place(run_of(0, 1), {"a", 7});
    progress.record_end(run_of(0, 1), run_outcome::done, "");
    progress.place(run_of(1, 1), {"a", 7});
    progress.record_end(run_of(1, 1), run_outcome::failed, "");
    progress.place(run_of(2, 3), {"b", 8});
    progress.save_checkpoint(run_of(2, 3), "point");
    job_progress copy(job);
    failure why;
    CHECK_TEXT(copy.read(progress.to_text(), why), why.reason.c_str());
    STRCMP_EQUAL(progress.to_text().c_str(), copy.to_text().c_str());
    CHECK_EQUAL(2U, copy.ready_tasks(0, 0).size());
    CHECK(copy.ready_tasks(0, 1).empty());
    CHECK_EQUAL(1U, copy.placed_runs().size());
    STRCMP_EQUAL("point", copy.task(run_of(2, 3).task)->checkpoint.c_str());
    CHECK(!copy.read("{\"open\":{\"0\":[1]}}", why));
    CHECK(!copy.read("no json", why));
}

// Guards against repetitions that start before their time or all at once.
TEST(job_progress, opens_repetitions_when_due)
{
    auto job = job_of(1, false);
    job.spec.repetitions = 3;
    job.spec.first_due_unix_ms = 1000;
    job.spec.interval = milliseconds(500);
    job_progress progress(job);
    CHECK_EQUAL(1000, *progress.open_due_repetitions(999));
    CHECK(progress.repetitions().empty());
    CHECK_EQUAL(2000, *progress.open_due_repetitions(1500));
    CHECK_EQUAL(2U, progress.repetitions().size());
    CHECK(!progress.open_due_repetitions(2000));
    CHECK_EQUAL(3U, progress.repetitions().size());
}

// Guards against a new leader that forgets which servers were lost under a
// task, and against counting one server twice.
TEST(job_progress, losses_outlive_the_leader)
{
    const auto job = job_of(2, false);
    job_progress progress(job);
    progress.open_due_repetitions(0);
    progress.place(run_of(0, 1), {"a", 7});
    CHECK(!progress.record_loss(run_of(0, 2), loss_role::at_start, true));
    CHECK(progress.record_loss(run_of(0, 1), loss_role::at_start, true));
    CHECK(progress.record_loss(run_of(0, 1), loss_role::at_start, true));
    CHECK(progress.required_use(run_of(0, 1).task) ==
          server_use::exclusive_at_start);
    progress.remove_placement(run_of(0, 1), "");
    progress.place(run_of(0, 2), {"b", 8}, server_use::exclusive_at_start);
    job_progress copy(job);
    failure why;
    CHECK_TEXT(copy.read(progress.to_text(), why), why.reason.c_str());
    STRCMP_EQUAL(progress.to_text().c_str(), copy.to_text().c_str());
    CHECK_EQUAL(1U, copy.lost_servers().size());
    CHECK(copy.record_loss(run_of(0, 2), loss_role::at_start, true));
    CHECK(copy.required_use(run_of(0, 1).task) == server_use::exclusive);
    CHECK(copy.required_use(run_of(1, 1).task) == server_use::shared);
    CHECK(copy.withdraw_losses({"a", 7}));
    CHECK(!copy.withdraw_losses({"a", 7}));
    CHECK_EQUAL(1U, copy.lost_servers().size());
    CHECK(copy.clear_losses(run_of(0, 2).task));
    CHECK(copy.lost_servers().empty());
    const auto reads = [&job, &why](const std::string& step)
    {
        return job_progress(job).read(R"({"open":{"0":[{)" + step + "}]}}",
                                      why);
    };
    CHECK(reads(R"("losses":[[0,"a",1,2,true]],"uses":[[0,2]])"));
    CHECK(!reads(R"("losses":[[0,"a",1,2]])"));
    CHECK(!reads(R"("losses":[[0,"a",1,3,true]])"));
    CHECK(!reads(R"("losses":[[9,"a",1,2,true]])"));
    CHECK(!reads(R"("uses":[[0,3]])"));
}

// Guards against giving up a task on losses that may be chance, and against one
// more start than is accepted after three crashes.
TEST(crash_evidence, conclusive_after_two_losses_alone_or_five)
{
    crash_evidence evidence;
    const auto add = [&evidence](const char* server, loss_role role, bool alone)
    {
        evidence.add({{server, 1}, role, alone});
    };
    add("a", loss_role::at_start, true);
    add("a", loss_role::at_start, true);
    for (const auto* server : {"b", "c", "d"})
    {
        add(server, loss_role::at_work, false);
    }
    for (const auto* server : {"e", "f", "g"})
    {
        add(server, loss_role::bystander, false);
    }
    CHECK(!evidence.is_conclusive());
    add("h", loss_role::at_start, true);
    CHECK(evidence.is_conclusive());
    CHECK(evidence.withdraw({"h", 1}));
    CHECK(!evidence.is_conclusive());
    add("i", loss_role::at_work, false);
    CHECK(evidence.is_conclusive());
}

TEST_GROUP(step_job){};

// Guards against accepting invalid specs and task names.
TEST(step_job, rejects_invalid_input)
{
    failure why;
    auto spec = job_of(1, false).spec;
    CHECK(check(spec, why));
    spec.steps[0].after = {0};
    CHECK(!check(spec, why));
    spec = job_of(0, false).spec;
    CHECK(!check(spec, why));
    spec = job_of(1001, false).spec;
    CHECK(!check(spec, why));
    spec = job_of(1, false).spec;
    spec.steps[0].need.memory_mb = -1;
    CHECK(!check(spec, why));
    spec = {};
    CHECK(!check(spec, why));
    CHECK(!parse_task_name("no.task"));
    CHECK(!parse_task_name("a.0.0.x"));
    CHECK(parse_task_name("a.b.1.2.3")->job == "a.b");
}

// Guards against a field of a job that is lost in its row.
TEST(step_job, round_trip_through_row)
{
    auto job = job_of(3, true);
    auto& step = job.spec.steps[0];
    step.same_rack = true;
    step.checkpoints = true;
    step.label = "a";
    step.data_rack = "r1";
    step.max_per_server = 2;
    step.estimate = milliseconds(900);
    step.long_running = true;
    step.best_effort = true;
    step.max_unavailable = 1;
    job.spec.repetitions = 2;
    job.spec.first_due_unix_ms = 1'700'000'000'000;
    job.spec.interval = milliseconds(10);
    job.accepted_unix_ms = 1'700'000'000'001;
    job.policy = {2, 4, 1.5, milliseconds(600)};
    failure why;
    const auto copy = step_job_from_json(to_json(job), why);
    CHECK_TEXT(copy.has_value(), why.reason.c_str());
    STRCMP_EQUAL(json_text(to_json(job)).c_str(),
                 json_text(to_json(*copy)).c_str());
    CHECK_EQUAL(1'700'000'000'001, copy->accepted_unix_ms);
    CHECK(copy->spec.steps[0].need == step.need);
}

TEST_GROUP(job_directory){};

// Guards against a row of another program that crashes the process or hides a
// job.
TEST(job_directory, ignores_foreign_rows)
{
    job_directory jobs;
    CHECK(!jobs.apply({{"jobs/x", "{}", 1}, false}));
    CHECK(!jobs.apply({{"jobs/x/a", "no json", 2}, false}));
    CHECK(!jobs.apply({{"jobs/x/s", "{\"state\":\"odd\"}", 3}, false}));
    const auto row = json_text(to_json(job_of(2, false)));
    CHECK(jobs.apply({{"jobs/0011/a", row, 4}, false}).has_value());
    CHECK_EQUAL(1U, jobs.pending("q"));
    CHECK(jobs.apply({{"jobs/0011/c", "{}", 5}, false}).has_value());
    CHECK_EQUAL(0U, jobs.pending("q"));
    CHECK(jobs.find("0011")->reported_state() == step_job_state::cancelled);
    jobs.apply({{"jobs/0011/c", "", 6}, true});
    jobs.apply({{"jobs/0011/a", "", 7}, true});
    CHECK(jobs.find("0011") == nullptr);
}

TEST_GROUP(step_placement){};

// Guards against placing part of a gang, or spreading it over several racks
// while one rack has the capacity.
TEST(step_placement, gang_is_placed_in_one_rack)
{
    auto job = job_of(3, true);
    auto& step = job.spec.steps[0];
    step.same_rack = true;
    const std::vector<candidate_server> servers{server_of("a", "r1", 8),
                                                server_of("b", "r2", 8),
                                                server_of("c", "r2", 4)};
    const auto result = place_step(request_for(step), servers);
    CHECK(result.has_value());
    for (const auto& part : result->parts)
    {
        STRCMP_EQUAL("r2", servers[part.server].rack.c_str());
    }
    step.tasks = 4;
    CHECK(!place_step(request_for(step), servers));
    auto remote = request_for(step);
    remote.max_slowdown = 3;
    CHECK_EQUAL(4, place_step(remote, servers)->tasks);
    step.tasks = 6;
    CHECK(!place_step(request_for(step), servers));
    CHECK(can_ever_fit(request_for(step), servers));
}

// Guards against a placement without the label, in another region, on a server
// of another service, or beyond the limit per server.
TEST(step_placement, respects_constraints_of_step)
{
    auto job = job_of(4, false);
    auto& step = job.spec.steps[0];
    step.need.accelerators = 1;
    std::vector<candidate_server> servers{server_of("a", "r1", 8),
                                          server_of("b", "r1", 8)};
    servers[0].labels = {"x"};
    servers[0].region = "north";
    servers[1].region = "south";
    step.label = "x";
    CHECK_EQUAL(0U, place_step(request_for(step), servers)->parts[0].server);
    auto request = request_for(step);
    request.regions = {"south"};
    CHECK(!place_step(request, servers));
    step.label = "";
    CHECK_EQUAL(1U, place_step(request, servers)->parts[0].server);
    step.max_per_server = 1;
    CHECK_EQUAL(2, place_step(request_for(step), servers)->tasks);
    auto present = request_for(step);
    present.existing_tasks = {1, 0};
    CHECK_EQUAL(1, place_step(present, servers)->tasks);
    servers[1].service = "other";
    CHECK(!place_step(request, servers));
}

TEST_GROUP(fit_cache){};

// Guards against a search over all servers for each waiting step: with hundreds
// of them the leader had no time left for calls to the servers. Seen on test
// site ongtm-sched-grown, fresh-db14.
TEST(fit_cache, unfit_shape_rules_out_larger_gangs)
{
    step_spec step;
    step.tasks = 3;
    step.need = {1000, 1000, 8};
    step.gang = true;
    fit_cache cache;
    auto request = request_for(step);
    CHECK(!cache.fits(request).has_value());
    cache.record(request, false);
    CHECK(cache.fits(request) == false);
    request.tasks = 4;
    CHECK(cache.fits(request) == false);
    request.tasks = 2;
    CHECK(!cache.fits(request).has_value());
    cache.record(request, true);
    CHECK(cache.fits(request) == true);
}

// Guards against reusing a result for another shape: the rack, label, size,
// distance and urgency of a request matter.
TEST(fit_cache, result_is_not_reused_for_other_shapes)
{
    step_spec step;
    step.need = {1000, 1000, 8};
    step.gang = true;
    fit_cache cache;
    cache.record(request_for(step), false);
    auto other = step;
    other.same_rack = true;
    CHECK(!cache.fits(request_for(other)).has_value());
    other = step;
    other.label = "a";
    CHECK(!cache.fits(request_for(other)).has_value());
    other = step;
    other.need.accelerators = 4;
    CHECK(!cache.fits(request_for(other)).has_value());
    auto remote = request_for(step);
    remote.max_slowdown = 3;
    CHECK(!cache.fits(remote).has_value());
    auto urgent = request_for(step);
    urgent.urgent = true;
    CHECK(!cache.fits(urgent).has_value());
}

// Guards against reusing a result under a limit per server: it depends on the
// tasks that the job already has there.
TEST(fit_cache, limit_per_server_is_not_cached)
{
    step_spec step;
    step.need = {1000, 1000, 1};
    step.max_per_server = 1;
    fit_cache cache;
    cache.record(request_for(step), false);
    CHECK(!cache.fits(request_for(step)).has_value());
}

TEST_GROUP(row_watcher)
{
    std::int64_t now = 1000;
    row_watcher_hooks hooks;

    void setup() override
    {
        hooks.now = [this]
        {
            return time_point(milliseconds(now));
        };
        hooks.boot_now = [this]
        {
            return boot_time(milliseconds(now));
        };
        hooks.random = []
        {
            return std::uint64_t{0};
        };
        hooks.on_all = [](const std::vector<table_row>&) {
        };
    }
};

// Guards against rows that are taken for current as of the last page of a scan:
// those of the first page are only known as of its time, so that a key that was
// revoked meanwhile would be accepted for too long.
TEST(row_watcher, scan_is_confirmed_as_of_its_first_page)
{
    std::vector<std::function<void(table_scan_reply)>> pages;
    hooks.store.scan = [&pages](const std::string&,
                                const std::string&,
                                int,
                                time_point,
                                std::function<void(table_scan_reply)> done)
    {
        pages.push_back(std::move(done));
    };
    row_watcher watcher({"op/"}, hooks);
    watcher.tick();
    now = 1500;
    pages.at(0)({{}, {}, 7, "op/m"});
    watcher.tick();
    now = 3000;
    pages.at(1)({{}, {}, 9, ""});
    CHECK(watcher.loaded());
    CHECK(watcher.confirmed_at() == boot_time(milliseconds(1000)));
}

// Guards against a leader that does not see new jobs for 1.8 s because its
// connection to the store is silent: it waits only as long as the store usually
// takes, and longer for a while after that was too short.
TEST(row_watcher, silent_connection_is_noticed_soon)
{
    std::vector<time_point> deadlines;
    std::function<void(table_watch_reply)> reply;
    hooks.store.scan = [](const std::string&,
                          const std::string&,
                          int,
                          time_point,
                          const std::function<void(table_scan_reply)>& done)
    {
        done({{}, {}, 7, ""});
    };
    hooks.store.watch =
        [&deadlines, &reply](const std::string&,
                             std::uint64_t,
                             milliseconds,
                             time_point deadline,
                             std::function<void(table_watch_reply)> done)
    {
        deadlines.push_back(deadline);
        reply = std::move(done);
    };
    row_watcher watcher({"jobs/"}, hooks);
    watcher.set_pace(milliseconds(400), milliseconds(0));
    watcher.tick();
    watcher.tick();
    CHECK(deadlines.at(0) - time_point(milliseconds(now)) <=
          milliseconds(1000));
    table_watch_reply lost;
    lost.error = {result_code::timeout, "no reply"};
    reply(lost);
    now += 2000;
    watcher.tick();
    CHECK(deadlines.at(1) - time_point(milliseconds(now)) >=
          milliseconds(1400));
    reply({{}, {}, 8});
    now += 20000;
    watcher.tick();
    CHECK(deadlines.at(2) - time_point(milliseconds(now)) <=
          milliseconds(1000));
}

// Guards against a VM behind a slow link that requests the same page in an
// endless loop, since it never arrives within the timeout.
TEST(row_watcher, pages_adapt_to_a_slow_link)
{
    // 2 Mbit/s, and rows of 16 KB.
    constexpr int rows_per_s = 15;
    constexpr int all_rows = 1000;
    std::vector<int> sizes;
    int next_row = 0;
    hooks.store.scan = [this, &sizes, &next_row](
                           const std::string&,
                           const std::string&,
                           int limit,
                           time_point deadline,
                           const std::function<void(table_scan_reply)>& done)
    {
        sizes.push_back(limit);
        const auto arrival = now + limit * 1000 / rows_per_s;
        const auto end = deadline.time_since_epoch().count();
        now = std::min<std::int64_t>(arrival, end);
        table_scan_reply reply;
        if (arrival > end)
        {
            reply.error = {result_code::timeout, "late"};
        }
        else
        {
            next_row += limit;
            reply.next = next_row < all_rows ? "row" : "";
        }
        done(reply);
    };
    row_watcher watcher({"jobs/"}, hooks);
    const auto start = now;
    while (!watcher.loaded() && now - start < 300'000)
    {
        watcher.tick();
        now += 5;
    }
    CHECK(watcher.loaded());
    CHECK_EQUAL(500, sizes.at(0));
    CHECK_EQUAL(125, sizes.at(1));
    CHECK_EQUAL(32, sizes.at(2));
    // The link needs 67 s for these rows.
    CHECK(now - start < 100'000);
    // On a fast link the pages are large again.
    scan_pace pace;
    pace.on_error({result_code::timeout, ""});
    CHECK(pace.timeout() > milliseconds(2000));
    pace.on_page(milliseconds(20));
    pace.on_page(milliseconds(20));
    CHECK_EQUAL(500, pace.rows());
    CHECK(pace.timeout() == milliseconds(2000));
    pace.on_error({result_code::store_unavailable, ""});
    CHECK_EQUAL(500, pace.rows());
}
