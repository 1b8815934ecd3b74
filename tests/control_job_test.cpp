// Jobs from submission to the reply, with a fault at every step.
#include "control_fakes.hpp"

#include "model/codec.hpp"

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace poplarramp;
using namespace poplarramp::tests;

namespace
{

// Records the replies to one caller.
struct reply_recorder
{
    std::vector<job_reply> replies;

    std::function<void(job_reply)> done()
    {
        return [this](job_reply reply)
        {
            replies.push_back(std::move(reply));
        };
    }
    result_code code() const
    {
        return replies.size() == 1 ? replies[0].error.code
                                   : result_code::internal_error;
    }
};

void submit(controller_simulation& sim,
            const std::string& vm,
            const job_request& request,
            reply_recorder& recorder,
            milliseconds wait = milliseconds(20000))
{
    sim.vm(vm).control->submit(request, sim.now + wait, recorder.done());
}

std::string expected_answer(const job_request& request)
{
    return "answer to " + job_id(request) + ": " + request.payload;
}

job_outcome done_outcome(const std::string& answer)
{
    job_outcome outcome;
    outcome.state = job_state::done;
    outcome.answer = answer;
    return outcome;
}

// Checks the invariants that hold for every caller after any fault. Returns the
// first violation.
std::string violation(controller_simulation& sim,
                      const job_request& request,
                      const reply_recorder& recorder)
{
    const auto id = job_id(request);
    if (recorder.replies.size() != 1)
    {
        return std::to_string(recorder.replies.size()) + " replies";
    }
    const auto& reply = recorder.replies[0];
    const auto row = sim.row_of(id);
    if (is_not_run(reply.error.code) && sim.runs_of(id) != 0)
    {
        return "ran after " + std::string(name_of(reply.error.code));
    }
    if (is_not_run(reply.error.code) && row &&
        row->outcome.state != job_state::not_run)
    {
        return "row left after " + std::string(name_of(reply.error.code));
    }
    if (!reply.error && reply.item.outcome.answer != expected_answer(request))
    {
        return "wrong answer " + reply.item.outcome.answer;
    }
    if (!reply.error && reply.item.durable && !row)
    {
        return "durable without a row";
    }
    if (!reply.item.durable && request.kind != "check")
    {
        return "accepted without a row";
    }
    if (request.kind == "tint" && sim.runs_of(id) > 1)
    {
        return "ran twice";
    }
    return {};
}

void check_no_violation(const std::string& found, const std::string& at)
{
    CHECK_TEXT(found.empty(), (found + " at " + at).c_str());
}

// Inserts the row of another entry VM under the same key.
void insert_row(controller_simulation& sim, job_request request)
{
    job item;
    item.request = std::move(request);
    item.idempotent = item.request.kind != "tint";
    item.zone = "a";
    item.origin_vm = "a2";
    item.token = "of another";
    const auto id = job_id(item.request);
    const auto text = json_text(to_json(item, sim.clock));
    if (!sim.rows.contains("job/" + id))
    {
        sim.rows["job/" + id] = {"job/" + id, text, 1};
        sim.rows["open/a/" + id] = {"open/a/" + id, id, 1};
    }
}

struct accept_case
{
    // Number of the table call that fails; `all`: every call until the caller
    // has its reply; `none`: no call.
    int failing_write;
    int failing_read;
    call_fault fault;
    // Expected codes for "check", "tint" and "glaze".
    result_code check;
    result_code tint;
    result_code glaze;
};

constexpr int all = 0;
constexpr int none = -1;
constexpr auto ok = result_code::ok;
constexpr auto pending = result_code::pending;
constexpr auto unavailable = result_code::store_unavailable;
constexpr auto lost = result_code::answer_lost;

const std::vector<accept_case> accept_cases{
    {none, none, call_fault::none, ok, ok, ok},
    {1, none, call_fault::unreachable, ok, unavailable, unavailable},
    {1, none, call_fault::request_lost, ok, ok, ok},
    {1, none, call_fault::reply_lost, ok, ok, ok},
    {1, none, call_fault::slow, ok, ok, ok},
    {1, none, call_fault::conflict, ok, ok, ok},
    {2, none, call_fault::request_lost, ok, ok, ok},
    {none, 1, call_fault::unreachable, ok, ok, ok},
    {none, 1, call_fault::request_lost, ok, ok, ok},
    {all, none, call_fault::unreachable, ok, unavailable, unavailable},
    {all, none, call_fault::request_lost, lost, lost, lost},
    {all, none, call_fault::reply_lost, ok, ok, ok},
    {all, none, call_fault::slow, ok, ok, ok},
    {all, none, call_fault::conflict, ok, ok, ok},
    {all, all, call_fault::unreachable, ok, unavailable, unavailable},
    {all, all, call_fault::request_lost, lost, lost, lost},
    {all, all, call_fault::reply_lost, lost, lost, lost},
    {all, all, call_fault::slow, ok, ok, ok},
};

result_code expected(const accept_case& each, const std::string& kind)
{
    if (kind == "check")
    {
        return each.check;
    }
    return kind == "tint" ? each.tint : each.glaze;
}

void run_accept_case(const accept_case& each,
                     const std::string& kind,
                     const std::string& vm)
{
    controller_simulation sim;
    sim.start(2);
    const auto request = request_of(kind, "k");
    sim.other_writer = [&]
    {
        insert_row(sim, request);
    };
    reply_recorder recorder;
    sim.table_fault = [&](const table_call& call)
    {
        const int failing =
            call.is_write ? each.failing_write : each.failing_read;
        const bool hit = call.key.starts_with("job/") &&
                         recorder.replies.empty() &&
                         (failing == all || failing == call.number);
        return hit ? each.fault : call_fault::none;
    };
    submit(sim, vm, request, recorder);
    sim.run_for(milliseconds(40000));
    const auto at = kind + " from " + vm + ", writes " +
                    std::to_string(each.failing_write) + ", reads " +
                    std::to_string(each.failing_read) + ", " +
                    name_of(each.fault);
    check_no_violation(violation(sim, request, recorder), at);
    const auto code = recorder.replies[0].error.code;
    CHECK_TEXT(code == expected(each, kind),
               (at + ": " + std::string(name_of(code))).c_str());
}

struct link_case
{
    const char* method;
    call_fault fault;
    // Every message fails; otherwise only the first one.
    bool every;
    result_code code;
};

const std::vector<link_case> link_cases{
    {"enqueue", call_fault::request_lost, false, ok},
    {"enqueue", call_fault::reply_lost, false, ok},
    {"enqueue", call_fault::slow, false, ok},
    {"enqueue", call_fault::twice, false, ok},
    {"enqueue", call_fault::unreachable, false, ok},
    {"enqueue", call_fault::request_lost, true, pending},
    {"enqueue", call_fault::reply_lost, true, ok},
    {"enqueue", call_fault::unreachable, true, pending},
    {"job_done", call_fault::request_lost, true, ok},
    {"job_done", call_fault::reply_lost, true, ok},
    {"job_done", call_fault::slow, true, ok},
    {"job_done", call_fault::twice, true, ok},
    {"job_status", call_fault::request_lost, true, ok},
    {"job_status", call_fault::twice, true, ok},
};

void run_link_case(const link_case& each,
                   const std::string& kind,
                   bool drops_ended_jobs)
{
    controller_simulation sim;
    sim.start(2);
    sim.run_time = milliseconds(2500);
    auto& scheduler = sim.scheduler_of("a");
    scheduler.scheduler.drops_ended_jobs = drops_ended_jobs;
    const std::string vm = scheduler.id == "a1" ? "a2" : "a1";
    int count = 0;
    sim.peer_fault = [&](const std::string&, const std::string& method)
    {
        const bool hit = method == each.method && (each.every || ++count == 1);
        return hit ? each.fault : call_fault::none;
    };
    const auto request = request_of(kind, "k");
    reply_recorder recorder;
    submit(sim, vm, request, recorder);
    sim.run_for(milliseconds(30000));
    const auto at = kind + ", " + each.method + " " + name_of(each.fault) +
                    (drops_ended_jobs ? ", forgets" : "");
    check_no_violation(violation(sim, request, recorder), at);
    const auto code = recorder.replies[0].error.code;
    CHECK_TEXT(code == each.code,
               (at + ": " + std::string(name_of(code))).c_str());
    CHECK_TEXT(sim.runs_of(job_id(request)) == (code == ok ? 1 : 0),
               at.c_str());
}

} // namespace

TEST_GROUP(control_job)
{
    controller_simulation sim;
};

// Guards against a job that gets no reply without any fault: submitted at a VM
// that is not the scheduler, and at the scheduler itself.
TEST(control_job, job_at_any_vm_gets_reply)
{
    sim.start(3);
    for (const std::string vm : {"a1", "a2", "a3"})
    {
        reply_recorder recorder;
        const auto request = request_of("check", "k-" + vm);
        submit(sim, vm, request, recorder);
        sim.run_for(milliseconds(1000));
        CHECK(recorder.code() == result_code::ok);
        CHECK(recorder.replies[0].item.outcome.answer ==
              expected_answer(request));
        CHECK(sim.runs_of(job_id(request)) == 1);
    }
}

// Guards against a wrong "not run", a second run, a job that is accepted
// without a row, and a caller that gets no reply or two, when the table fails
// at any call made to accept a job.
TEST(control_job, submission_result_is_correct_under_table_faults)
{
    for (const auto& each : accept_cases)
    {
        for (const std::string kind : {"check", "tint", "glaze"})
        {
            run_accept_case(each, kind, "a1");
            run_accept_case(each, kind, "a2");
        }
    }
}

// Guards against the same faults when messages to and from the scheduler are
// lost, late or duplicated, and against a second run when the scheduler has
// dropped its record of the ended job.
TEST(control_job, submission_result_is_correct_under_link_faults)
{
    for (const auto& each : link_cases)
    {
        for (const std::string kind : {"check", "tint"})
        {
            run_link_case(each, kind, false);
            run_link_case(each, kind, true);
        }
    }
}

// Guards against a caller that gets no reply, or a lost job, when the scheduler
// is killed before or after it received the job.
TEST(control_job, job_survives_scheduler_failure)
{
    for (const int kill_after : {0, 1, 3, 5, 100})
    {
        controller_simulation fresh;
        fresh.start(3);
        fresh.run_time = milliseconds(1000);
        auto& scheduler = fresh.scheduler_of("a");
        const std::string vm = scheduler.id == "a1" ? "a2" : "a1";
        const auto request = request_of("check", "k");
        reply_recorder recorder;
        submit(fresh, vm, request, recorder);
        fresh.at(milliseconds(kill_after), [&] { fresh.kill(scheduler); });
        fresh.run_for(milliseconds(8000));
        CHECK(recorder.code() == ok);
        check_no_violation(violation(fresh, request, recorder),
                           std::to_string(kill_after));
        CHECK(fresh.scheduler_of("a").id != scheduler.id);
    }
}

// Guards against a patient job that is lost because its caller timed out before
// any scheduler could be reached.
TEST(control_job, patient_job_is_enqueued_after_caller_timeout)
{
    sim.start(2);
    auto& scheduler = sim.scheduler_of("a");
    const std::string vm = scheduler.id == "a1" ? "a2" : "a1";
    scheduler.isolated = true;
    const auto request = request_of("glaze", "k");
    reply_recorder recorder;
    submit(sim, vm, request, recorder, milliseconds(0));
    sim.run_for(milliseconds(500));
    CHECK(recorder.code() == pending);
    CHECK(sim.runs_of("umkhonto/k") == 0);
    scheduler.isolated = false;
    sim.run_for(milliseconds(8000));
    CHECK(sim.runs_of("umkhonto/k") == 1);
}

// Guards against a second job under one key, and against returning the result
// of one request for a different request with the same key.
TEST(control_job, repeated_key_returns_first_job)
{
    sim.start(2);
    sim.run_time = milliseconds(1000);
    const auto request = request_of("tint", "k");
    auto other = request;
    other.payload = "other payload";
    reply_recorder first;
    reply_recorder repeat;
    reply_recorder from_other_vm;
    reply_recorder with_other_payload;
    reply_recorder with_other_payload_in_other_zone;
    reply_recorder late;
    submit(sim, "a1", request, first);
    submit(sim, "a1", request, repeat);
    submit(sim, "a2", request, from_other_vm);
    sim.run_for(milliseconds(100));
    submit(sim, "a1", other, with_other_payload);
    submit(sim, "b1", other, with_other_payload_in_other_zone);
    sim.run_for(milliseconds(3000));
    submit(sim, "b2", request, late);
    sim.run_for(milliseconds(1000));
    for (const auto* recorder : {&first, &repeat, &from_other_vm, &late})
    {
        CHECK(recorder->code() == ok);
        CHECK(recorder->replies[0].item.outcome.answer ==
              expected_answer(request));
    }
    CHECK(with_other_payload.code() == result_code::key_reused);
    CHECK(with_other_payload_in_other_zone.code() == result_code::key_reused);
    CHECK(sim.runs_of("umkhonto/k") == 1);
}

// Guards against "not run" for a repeated request whose first attempt was
// accepted, when the repeat is refused because its deadline has passed, the VM
// stops or the table is down.
TEST(control_job, refusal_checks_for_earlier_acceptance)
{
    sim.start(2);
    sim.run_time = milliseconds(5000);
    // The VM that stops must not be the scheduler: a fake scheduler that takes
    // over runs the job again.
    const std::string scheduler = sim.scheduler_of("a").id;
    const std::string other = scheduler == "a1" ? "a2" : "a1";
    auto request = request_of("tint", "k");
    reply_recorder first;
    submit(sim, scheduler, request, first);
    sim.run_for(milliseconds(100));
    request.deadline = sim.now;
    reply_recorder late;
    submit(sim, other, request, late, milliseconds(100));
    request.deadline = no_deadline;
    reply_recorder at_outage;
    sim.at(milliseconds(1000),
           [&]
           {
               sim.table_fault = [](const table_call&)
               {
                   return call_fault::unreachable;
               };
               submit(sim, other, request, at_outage, milliseconds(100));
           });
    reply_recorder at_stop;
    sim.at(milliseconds(1500),
           [&]
           {
               sim.table_fault = nullptr;
               sim.vm(other).control->begin_stop([] {});
               submit(sim, other, request, at_stop, milliseconds(100));
           });
    sim.run_for(milliseconds(8000));
    CHECK(first.code() == ok);
    CHECK(late.code() == pending);
    CHECK(at_outage.code() == pending);
    CHECK(at_stop.code() == pending);
    CHECK(sim.runs_of("umkhonto/k") == 1);
}

// Guards against a second run of a job that has ended, when the insert finds
// its key in use and the table fails before the existing row can be read.
TEST(control_job, existing_key_waits_until_row_is_read)
{
    sim.start(2);
    const auto request = request_of("check", "k");
    job first;
    first.request = request;
    first.token = "of another";
    first.outcome = done_outcome(expected_answer(request));
    sim.rows["job/umkhonto/k"] = {
        "job/umkhonto/k", json_text(to_json(first, sim.clock)), 1};
    bool down = true;
    sim.table_fault = [&](const table_call& call)
    {
        return down && !call.is_write ? call_fault::unreachable
                                      : call_fault::none;
    };
    reply_recorder recorder;
    submit(sim, "a1", request, recorder);
    sim.run_for(milliseconds(3000));
    CHECK(recorder.replies.empty());
    down = false;
    sim.run_for(milliseconds(1000));
    CHECK(recorder.code() == ok);
    CHECK(recorder.replies[0].item.outcome.answer == expected_answer(request));
    CHECK(sim.runs_of("umkhonto/k") == 0);
}

// Guards against "not run" when a scheduler refuses a job that another one may
// have started, because the reply to the first enqueue was lost.
TEST(control_job, refusal_after_lost_reply_is_not_final)
{
    sim.start(3);
    sim.run_time = milliseconds(3000);
    auto& first = sim.scheduler_of("a");
    const std::string vm = first.id == "a1" ? "a2" : "a1";
    sim.peer_fault = [](const std::string&, const std::string& method)
    {
        return method == "enqueue" ? call_fault::reply_lost : call_fault::none;
    };
    reply_recorder recorder;
    const auto request = request_of("check", "k");
    submit(sim, vm, request, recorder);
    sim.run_for(milliseconds(500));
    sim.peer_fault = nullptr;
    first.isolated = true;
    for (const auto& each : sim.vms)
    {
        each->scheduler.refusal = {result_code::queue_full, "full"};
    }
    sim.run_for(milliseconds(20000));
    check_no_violation(violation(sim, request, recorder),
                       "a refusal of the second scheduler");
    CHECK(recorder.code() == ok);
}

// Guards against a refusal that leaves an open row, from which a later
// scheduler would start the job.
TEST(control_job, refusal_closes_row)
{
    sim.start(2);
    sim.scheduler_of("a").scheduler.refusal = {result_code::queue_full, "q"};
    const auto request = request_of("tint", "k");
    reply_recorder recorder;
    submit(sim, "a1", request, recorder);
    sim.run_for(milliseconds(3000));
    CHECK(recorder.code() == result_code::queue_full);
    CHECK(sim.row_of("umkhonto/k")->outcome.state == job_state::not_run);
    CHECK(!sim.rows.contains("open/a/umkhonto/k"));
}

// Guards against a result that is truncated to the size of a row, and against
// one that is lost because the object store is down when the job ends.
TEST(control_job, fetches_large_result_from_object_store)
{
    sim.start(2);
    const std::string large(100000, 'x');
    sim.objects["answer"] = large;
    sim.run_time = milliseconds(100000);
    const auto request = request_of("check", "k");
    reply_recorder recorder;
    submit(sim, "a1", request, recorder, milliseconds(60000));
    sim.run_for(milliseconds(100));
    sim.objects_down = true;
    auto outcome = done_outcome("");
    outcome.answer_object = "answer";
    sim.end_job(sim.scheduler_of("a"), "umkhonto/k", outcome);
    sim.run_for(milliseconds(5000));
    CHECK(recorder.replies.empty());
    sim.objects_down = false;
    sim.run_for(milliseconds(5000));
    CHECK(recorder.code() == ok);
    CHECK(recorder.replies[0].item.outcome.answer == large);
}

// Guards against results that reach the wrong caller when completions arrive
// out of order, twice, or followed by another state.
TEST(control_job, completions_are_matched_by_job_id)
{
    sim.start(2);
    sim.run_time = milliseconds(100000);
    std::vector<reply_recorder> callers(10);
    for (int i = 0; i < 10; ++i)
    {
        submit(sim,
               "a1",
               request_of("check", std::to_string(i)),
               callers[static_cast<std::size_t>(i)],
               milliseconds(60000));
    }
    sim.run_for(milliseconds(100));
    const auto& handlers = sim.vm("a1").handlers;
    for (int i = 9; i >= 0; --i)
    {
        const auto id = "umkhonto/" + std::to_string(i);
        handlers.on_job_done(id, done_outcome("answer " + std::to_string(i)));
        handlers.on_job_done(id, done_outcome("second answer"));
        job_outcome running;
        running.state = job_state::running;
        handlers.on_job_done("umkhonto/0", running);
    }
    for (int i = 0; i < 10; ++i)
    {
        const auto& recorder = callers[static_cast<std::size_t>(i)];
        CHECK(recorder.code() == ok);
        CHECK(recorder.replies[0].item.outcome.answer ==
              "answer " + std::to_string(i));
    }
}

// Guards against an error code that means "not run" for a job that failed.
TEST(control_job, failed_job_is_not_reported_as_not_run)
{
    sim.start(1);
    sim.run_time = milliseconds(100000);
    reply_recorder recorder;
    submit(sim, "a1", request_of("check", "k"), recorder);
    sim.run_for(milliseconds(100));
    job_outcome outcome;
    outcome.state = job_state::failed;
    outcome.code = result_code::retries_exhausted;
    sim.end_job(sim.scheduler_of("a"), "umkhonto/k", outcome);
    CHECK(recorder.code() == result_code::job_failed);
}

// Guards against unbounded memory for waiting callers, and against "not run"
// for one whose job was accepted: only those beyond the limit of 50 are shed.
TEST(control_job, waiting_callers_are_limited)
{
    sim.start(1);
    sim.run_time = milliseconds(100000);
    std::vector<reply_recorder> callers(60);
    for (std::size_t i = 0; i < callers.size(); ++i)
    {
        submit(sim,
               "a1",
               request_of("check", std::to_string(i)),
               callers[i],
               milliseconds(60000));
        sim.run_for(milliseconds(i == 40 ? 100 : 0));
    }
    sim.run_for(milliseconds(100));
    std::size_t shed = 0;
    for (std::size_t i = 0; i < callers.size(); ++i)
    {
        shed += callers[i].code() == result_code::shed ? 1 : 0;
    }
    CHECK(shed == 10);
}

// Guards against a cancellation that is lost during a scheduler failover.
TEST(control_job, cancellation_is_resent_to_new_scheduler)
{
    sim.start(3);
    sim.run_time = milliseconds(100000);
    const auto request = request_of("check", "k");
    auto& scheduler = sim.scheduler_of("a");
    const std::string vm = scheduler.id == "a1" ? "a2" : "a1";
    reply_recorder recorder;
    submit(sim, vm, request, recorder);
    sim.run_for(milliseconds(100));
    sim.kill(scheduler);
    reply_recorder cancelling;
    sim.vm(vm).control->cancel_job("umkhonto", "k", cancelling.done());
    sim.run_for(milliseconds(6000));
    const auto& next = sim.scheduler_of("a").scheduler;
    CHECK(!next.cancelled.empty());
    CHECK(cancelling.code() == pending);
    reply_recorder unknown;
    sim.vm(vm).control->cancel_job("umkhonto", "none", unknown.done());
    sim.run_for(milliseconds(100));
    CHECK(unknown.code() == result_code::not_found);
}

// Guards against an isolated availability zone that refuses urgent idempotent
// jobs, or accepts other jobs without a durable row.
TEST(control_job, isolated_zone_accepts_urgent_idempotent_jobs)
{
    sim.start(2);
    sim.zones_partitioned = true;
    sim.table_fault = [](const table_call& call)
    {
        return call.zone == "a" ? call_fault::unreachable : call_fault::none;
    };
    sim.run_for(milliseconds(10000));
    for (const std::string kind : {"check", "tint", "glaze"})
    {
        reply_recorder recorder;
        const auto request = request_of(kind, "k-" + kind);
        submit(sim, "a1", request, recorder);
        sim.run_for(milliseconds(2000));
        check_no_violation(violation(sim, request, recorder), kind);
        CHECK(recorder.code() == (kind == "check" ? ok : unavailable));
    }
}

// Guards against a planned stop that drops callers, accepts new jobs, keeps the
// server leases or never completes.
TEST(control_job, planned_stop_completes_waiting_calls)
{
    for (const bool stop_scheduler : {false, true})
    {
        controller_simulation fresh;
        fresh.start(2);
        fresh.run_time = milliseconds(3000);
        const std::string scheduler = fresh.scheduler_of("a").id;
        const std::string other = scheduler == "a1" ? "a2" : "a1";
        const auto vm = stop_scheduler ? scheduler : other;
        reply_recorder recorder;
        const auto request = request_of("check", "k");
        submit(fresh, vm, request, recorder);
        fresh.run_for(milliseconds(100));
        int stopped = 0;
        fresh.vm(vm).control->begin_stop([&] { ++stopped; });
        reply_recorder refused;
        submit(fresh, vm, request_of("check", "new"), refused);
        fresh.run_for(milliseconds(500));
        CHECK(refused.code() == result_code::vm_stopping);
        CHECK(!fresh.vm(vm).scheduler.active);
        CHECK(fresh.scheduler_of("a").id != vm);
        CHECK(stopped == 0);
        fresh.run_for(milliseconds(9000));
        CHECK(recorder.code() == ok);
        CHECK(stopped == 1);
    }
}

// Guards against a planned stop that waits without limit for a long job.
TEST(control_job, planned_stop_ends_at_timeout)
{
    sim.start(2);
    sim.run_time = milliseconds(100000);
    reply_recorder recorder;
    submit(sim, "a1", request_of("check", "k"), recorder, milliseconds(90000));
    sim.run_for(milliseconds(100));
    int stopped = 0;
    sim.vm("a1").control->begin_stop([&] { ++stopped; });
    sim.run_for(milliseconds(29000));
    CHECK(stopped == 0);
    sim.run_for(milliseconds(2000));
    CHECK(stopped == 1);
    CHECK(recorder.code() == pending);
}

// Guards against completion handlers that use a destroyed controller.
TEST(control_job, late_completions_after_destruction_are_ignored)
{
    sim.start(2);
    sim.table_fault = [](const table_call&)
    {
        return call_fault::slow;
    };
    reply_recorder recorder;
    submit(sim, "a1", request_of("check", "k"), recorder);
    sim.vm("a1").control->set_zone(
        "a", zone_state::out, "op", [](const change_reply&) {});
    sim.run_for(milliseconds(10));
    sim.kill(sim.vm("a1"));
    sim.run_for(milliseconds(5000));
    CHECK(recorder.replies.empty());
}
