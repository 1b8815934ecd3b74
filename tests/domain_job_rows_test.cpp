// Jobs that are large, or whose rows the store refuses, beside other jobs.
#include "domain_simulation.hpp"

#include "domain/commit_queue.hpp"
#include "domain/open_work.hpp"
#include "domain/progress_rows.hpp"
#include "platform/http_api.hpp"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace poplarramp;
using namespace poplarramp::fakes;

namespace
{

step_job_spec repeated(int tasks, int repetitions, milliseconds interval)
{
    auto spec = one_step(tasks, 0);
    spec.steps[0].need = {10, 10, 0};
    spec.repetitions = repetitions;
    spec.interval = interval;
    return spec;
}

step_job
job_of(const std::string& id, int tasks, int repetitions, int priority = 1)
{
    step_job job;
    job.id = id;
    job.policy.priority = priority;
    job.spec = repeated(tasks, repetitions, milliseconds(0));
    return job;
}

} // namespace

TEST_GROUP(domain_job_rows)
{
    domain_simulation sim;

    void set_up(milliseconds task_time)
    {
        for (int i = 0; i < 3; ++i)
        {
            sim.add_server("s" + std::to_string(i));
            sim.servers.at("s" + std::to_string(i)).task_time = task_time;
        }
        CHECK(sim.run_until(milliseconds(5000),
                            [this]
                            {
                                return sim.leader() != nullptr &&
                                       sim.vms[0]->api->ready() &&
                                       sim.vms[1]->api->ready();
                            }));
    }

    bool has_rows(const std::string& id) const
    {
        const auto found = sim.stored_rows.lower_bound("runs/" + id);
        return found != sim.stored_rows.end() &&
               found->first.starts_with("runs/" + id);
    }

    void check_no_violations()
    {
        for (const auto& text : sim.violations)
        {
            FAIL_TEST(text.c_str());
        }
    }
};

// Guards against a job whose overlapping repetitions outgrow one row, so that
// the store refuses all work of all jobs (review/2), and against a new leader
// that starts their tasks again.
TEST(domain_job_rows, overlapping_repetitions_fit_into_rows)
{
    set_up(milliseconds(30000));
    sim.submit(0, "wide", "q2", repeated(256, 6, milliseconds(500)));
    CHECK(sim.run_until(milliseconds(10000),
                        [this] { return sim.starts == 6 * 256; }));
    CHECK_EQUAL(0, sim.refused_writes);
    sim.leader()->kill();
    sim.run(milliseconds(4000));
    sim.task_times["small"] = milliseconds(500);
    sim.submit(sim.vms[0]->up ? 0 : 1, "small", "q1", one_step(2, 1));
    CHECK(sim.run_until(
        milliseconds(5000),
        [this] { return sim.state("small") == step_job_state::completed; }));
    CHECK(sim.run_until(
        milliseconds(40000),
        [this] { return sim.state("wide") == step_job_state::completed; }));
    sim.run(milliseconds(500));
    CHECK_EQUAL(6 * 256 + 2, sim.starts);
    CHECK(!has_rows("wide"));
    check_no_violations();
}

// Guards against one row that the store refuses permanently and that blocks the
// rows of all other jobs; the next leader does not start its job either.
TEST(domain_job_rows, refused_row_blocks_only_its_job)
{
    set_up(milliseconds(1000));
    sim.refused_key = "runs/job-3";
    for (int i = 0; i < 8; ++i)
    {
        sim.submit(0, "job-" + std::to_string(i), "q1", one_step(2, 1));
    }
    const auto others_completed = [this]
    {
        int completed = 0;
        for (int i = 0; i < 8; ++i)
        {
            completed += sim.state("job-" + std::to_string(i)) ==
                                 step_job_state::completed
                             ? 1
                             : 0;
        }
        return completed == 7;
    };
    CHECK(sim.run_until(milliseconds(6000), others_completed));
    CHECK(!sim.started_jobs.contains("job-3"));
    // The refused batch is not repeated.
    sim.run(milliseconds(1000));
    const int refused = sim.refused_writes;
    sim.run(milliseconds(3000));
    CHECK_EQUAL(refused, sim.refused_writes);
    sim.refused_key.clear();
    auto* killed = sim.leader();
    killed->kill();
    sim.run(milliseconds(5000));
    killed->start();
    sim.run(milliseconds(5000));
    CHECK(!sim.started_jobs.contains("job-3"));
    sim.cancel(0, "job-3", "q1");
    CHECK(sim.run_until(
        milliseconds(3000),
        [this] { return sim.state("job-3") == step_job_state::cancelled; }));
    check_no_violations();
}

// Guards against a store that is only overloaded and is taken to refuse a job.
TEST(domain_job_rows, transient_refusal_quarantines_nothing)
{
    set_up(milliseconds(500));
    sim.submit(0, "job", "q1", one_step(2, 1));
    sim.store_down = true;
    sim.run(milliseconds(1500));
    sim.store_down = false;
    CHECK(sim.run_until(
        milliseconds(8000),
        [this] { return sim.state("job") == step_job_state::completed; }));
    check_no_violations();
}

// Guards against a job with very many repetitions whose tasks the leader holds
// all at once (review/1), and against starting one of a dropped repetition
// again.
TEST(domain_job_rows, many_repetitions_are_opened_in_turn)
{
    set_up(milliseconds(1000));
    sim.submit(0, "many", "q2", repeated(2, 300, milliseconds(0)));
    sim.submit(0, "small", "q1", one_step(2, 1));
    CHECK(sim.run_until(
        milliseconds(5000),
        [this] { return sim.state("small") == step_job_state::completed; }));
    sim.leader()->kill();
    CHECK(sim.run_until(
        milliseconds(60000),
        [this] { return sim.state("many") == step_job_state::completed; }));
    CHECK_EQUAL(300 * 2 + 2, sim.starts);
    sim.run(milliseconds(1000));
    CHECK(!has_rows("many"));
    check_no_violations();
}

// Guards against a job that is reported as begun when it is placed, while no
// server has confirmed a start (MIXED in review/REPORT.md).
TEST(domain_job_rows, pending_job_begins_with_a_confirmed_start)
{
    set_up(milliseconds(5000));
    for (auto& vm : sim.vms)
    {
        vm->server_link.delay = milliseconds(300);
    }
    sim.run(milliseconds(1500));
    const auto pending = [this]
    {
        failure why;
        auto& vm = *sim.vms[1];
        const auto call = vm.api->admit("host", "/q1/", "bead-key", why);
        return vm.api->pending(*call, why).value_or(99);
    };
    sim.submit(0, "job", "q1", one_step(2, 1));
    CHECK(
        sim.run_until(milliseconds(3000), [this] { return has_rows("job"); }));
    sim.run(milliseconds(200));
    CHECK_EQUAL(0, sim.starts);
    CHECK(sim.state("job") == step_job_state::queued);
    CHECK_EQUAL(1U, pending());
    CHECK(
        sim.run_until(milliseconds(2000), [this] { return sim.starts == 2; }));
    sim.run(milliseconds(2000));
    CHECK(sim.state("job") == step_job_state::running);
    CHECK_EQUAL(0U, pending());
    check_no_violations();
}

// Guards against a process that ends while it leads, such as for its use of
// memory, and leads again before any other VM may (review/1).
TEST(domain_job_rows, killed_leader_does_not_lead_again_at_once)
{
    set_up(milliseconds(1000));
    for (int i = 0; i < 3; ++i)
    {
        auto* killed = sim.leader();
        killed->kill();
        killed->start();
        CHECK(sim.run_until(milliseconds(4000),
                            [this] { return sim.leader() != nullptr; }));
        CHECK(sim.leader() != killed);
    }
    // Without another VM it leads again.
    auto* last = sim.leader();
    for (auto& vm : sim.vms)
    {
        vm->kill();
    }
    last->start();
    CHECK(sim.run_until(milliseconds(5000), [last] { return last->leads(); }));
}

// Guards against a job under which leaders end without end: it is found and
// quarantined, and all other jobs run.
TEST(domain_job_rows, job_that_ends_leaders_is_quarantined)
{
    set_up(milliseconds(500));
    constexpr int poison_tasks = 900;
    sim.submit(0, "poison", "q2", repeated(poison_tasks, 0, milliseconds(0)));
    const auto submit_other = [this](int number)
    {
        auto& vm = sim.vms[0]->up && sim.vms[0]->api->ready() ? sim.vms[0]
                                                              : sim.vms[1];
        if (vm->up && vm->api->ready())
        {
            sim.submit(vm == sim.vms[0] ? 0 : 1,
                       "other-" + std::to_string(number),
                       "q1",
                       one_step(2, 1));
        }
    };
    int ended = 0;
    std::int64_t last_end = sim.now;
    for (int i = 0; i < 12000; ++i)
    {
        sim.run(milliseconds(5));
        if (i < 2000 && i % 200 == 0)
        {
            submit_other(i);
        }
        auto* leader = sim.leader();
        if (leader != nullptr && leader->scheduler &&
            leader->scheduler->open_tasks() >= poison_tasks)
        {
            ++ended;
            last_end = sim.now;
            leader->kill();
            sim.at(sim.now + 300, [leader] { leader->start(); });
        }
    }
    CHECK(ended >= 4);
    CHECK(ended <= 8);
    // The last 30 s were quiet.
    CHECK(sim.now - last_end > 30'000);
    CHECK(!sim.started_jobs.contains("poison"));
    int others = 0;
    for (const auto& [key, row] : sim.stored_rows)
    {
        const auto name = parse_job_row_key(key);
        if (name && name->kind == job_row_kind::accepted &&
            name->job != "poison")
        {
            ++others;
            CHECK(sim.state(name->job) == step_job_state::completed);
        }
    }
    CHECK(others >= 5);
    check_no_violations();
}

// Guards against accepting a job that would take the fleet for hours, and
// against refusing one that is only large.
TEST(domain_job_rows, hopeless_number_of_tasks_is_refused)
{
    set_up(milliseconds(500));
    const auto submit = [this](const std::string& repetitions)
    {
        int status = 0;
        platform::http_api_hooks hooks;
        hooks.now = [this]
        {
            return time_point(milliseconds(sim.now));
        };
        hooks.count = [](const std::string&, double) {
        };
        hooks.record = [](const std::string&, milliseconds) {
        };
        http_request request;
        request.method = "POST";
        request.host = "host";
        request.target = "/q1/00000000000000" + repetitions.substr(0, 2);
        request.authorization = "Bearer bead-key";
        request.body =
            R"({"task_spec":"x","repetitions":)" + repetitions +
            R"(,"start_at_ms":99999999999,"phases":[{"task_count":1000,"cpu":1,"estimate_ms":5}]})";
        platform::make_http_api(*sim.vms[0]->api,
                                hooks)(request,
                                       [&status](const http_response& response)
                                       { status = response.status; });
        sim.run(milliseconds(100));
        return status;
    };
    CHECK_EQUAL(400, submit("9000"));
    CHECK_EQUAL(200, submit("5000"));
}

TEST_GROUP(open_work){};

// Guards against more task state than the memory limit allows, against one job
// that takes all of it, and against urgent jobs that wait for others.
TEST(open_work, is_bounded_and_shared)
{
    CHECK_EQUAL(65536U, max_open_tasks(128));
    std::map<std::string, job_progress> jobs;
    const auto all = [](const job_progress&)
    {
        return true;
    };
    const auto add = [&jobs](step_job job)
    {
        job.accepted_unix_ms = static_cast<std::int64_t>(jobs.size());
        jobs.try_emplace(job.id, job);
    };
    const auto open = [&jobs](const std::string& id)
    {
        return static_cast<int>(jobs.at(id).repetitions().size());
    };
    add(job_of("z", 100, 1000));
    CHECK_EQUAL(1U, open_due_work(jobs, 0, 4000, all).size());
    CHECK_EQUAL(10, open("z"));
    for (int i = 0; i < 40; ++i)
    {
        add(job_of("b" + std::to_string(10 + i), 100, 0));
    }
    const auto waiting = open_due_work(jobs, 0, 4000, all);
    // 3,000 tasks are for jobs that are not urgent, in the order of arrival.
    CHECK_EQUAL(1, open("b29"));
    CHECK_EQUAL(0, open("b30"));
    CHECK_EQUAL(21U, waiting.size());
    add(job_of("urgent", 1000, 0, 0));
    open_due_work(jobs, 0, 4000, all);
    CHECK_EQUAL(1, open("urgent"));
}

TEST_GROUP(progress_rows){};

// Guards against a document that exceeds the limit of a row, and against parts
// of a former, longer text.
TEST(progress_rows, long_documents_are_stored_in_parts)
{
    const std::string text(150'000, 'x');
    progress_rows rows;
    leader_batch batch;
    rows.put("j", 7, text, batch);
    CHECK_EQUAL(3U, batch.puts.size());
    progress_texts texts;
    for (const auto& put : batch.puts)
    {
        CHECK(put.value.size() <= max_row_bytes);
        const auto name = parse_progress_row_key(put.key);
        STRCMP_EQUAL("j", name->job.c_str());
        CHECK_EQUAL(7, name->document);
        texts.add(*name, put.value);
    }
    CHECK(text == *texts.text(7));
    leader_batch shorter;
    texts.rows().put("j", 7, "short", shorter);
    CHECK_EQUAL(1U, shorter.puts.size());
    CHECK_EQUAL(2U, shorter.removals.size());
    for (const auto* key : {"runs/j/", "runs/j/x", "runs/j/1.", "runs/j/1.0"})
    {
        CHECK(!parse_progress_row_key(key));
    }
    CHECK_EQUAL(head_document, parse_progress_row_key("runs/j")->document);
    CHECK_EQUAL(2, parse_progress_row_key("runs/j/.2")->part);
}

// Guards against a row of an earlier build, with all open repetitions, that a
// new leader does not take over as a whole.
TEST(progress_rows, repetitions_in_the_row_of_the_job_are_read)
{
    const auto job = job_of("j", 2, 5);
    job_progress progress(job);
    failure why;
    CHECK(progress.read(
        R"({"open":{"1":[{"done":"x."}],"3":[{"tasks":[[0,2,0,"s",9,""]]}]},)"
        R"("opened":4,"completed":2,"started":true})",
        why));
    CHECK_EQUAL(2U, progress.changed_repetitions().size());
    CHECK(progress.task({"j", 1, 0, 0})->done);
    // Only one of the documents was stored with the row of the job.
    const auto document = progress.repetition_text(1);
    progress.on_document_taken(1);
    job_progress copy(job);
    CHECK(copy.read(progress.to_text(), why));
    CHECK(copy.read_repetition_text(1, document, why));
    CHECK(copy.read_repetition_text(0, "ended", why));
    CHECK(copy.task({"j", 1, 0, 0})->done);
    CHECK_EQUAL(1U, copy.placed_runs().size());
    CHECK_EQUAL(2, copy.task({"j", 3, 0, 0})->attempt);
    CHECK(!copy.is_open(0));
    // A write that was not confirmed.
    progress.on_document_not_stored(1);
    job_progress again(job);
    CHECK(again.read(progress.to_text(), why));
    CHECK(again.task({"j", 1, 0, 0})->done);
}

TEST_GROUP(commit_queue){};

// Guards against a refused batch that is repeated with the same jobs.
TEST(commit_queue, halves_of_a_refused_batch_come_first)
{
    commit_queue queue;
    queue.push("later");
    queue.split({"a", "b", "c"});
    const auto batch = [&queue]
    {
        std::string jobs;
        queue.begin_batch();
        while (const auto job = queue.next())
        {
            jobs += *job + " ";
        }
        queue.end_batch();
        return jobs;
    };
    STRCMP_EQUAL("a ", batch().c_str());
    STRCMP_EQUAL("b c ", batch().c_str());
    STRCMP_EQUAL("later ", batch().c_str());
    CHECK(queue.empty());
}
