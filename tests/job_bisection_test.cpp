// The search for a job that ends leaders, and the probation of new jobs.
#include "domain/job_bisection.hpp"
#include "domain/job_probation.hpp"

#include <optional>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace poplarramp;

namespace
{

step_job job_of(const std::string& id, int tasks)
{
    step_job job;
    job.id = id;
    job.spec.steps.emplace_back().tasks = tasks;
    return job;
}

std::uint64_t no_random()
{
    return 0;
}

// One leader: begins the jobs as the search allows, planning every 10 ms.
struct fake_leader
{
    fake_leader(const bisection_group& failed,
                const std::vector<step_job>& jobs,
                std::uint64_t random_value = 0)
        : search(failed, [random_value] { return random_value; })
    {
        for (const auto& job : jobs)
        {
            search.add(job);
        }
    }

    // Leads until `end`, or until just after the job has begun.
    void run(time_point end, const std::string& faulty)
    {
        while (now < end && !search.done() &&
               (!now_begun(faulty) || search.faulty_job()))
        {
            search.advance(now, true);
            search.on_planned(now);
            now += milliseconds(10);
        }
    }

    bool now_begun(const std::string& job) const
    {
        return !job.empty() && now > time_point{} && search.may_begin(job);
    }

    job_bisection search;
    time_point now{};
};

constexpr time_point never = time_point::max();

} // namespace

TEST_GROUP(job_bisection)
{
    std::vector<step_job> jobs;

    void add_jobs(int count)
    {
        jobs.clear();
        for (int i = 0; i < count; ++i)
        {
            jobs.push_back(job_of("j" + std::to_string(10 + i), 1 + i % 5));
        }
    }
};

// Guards against a search that misses the job under which leaders end, or that
// blames another one; whichever of up to 12 jobs it is.
TEST(job_bisection, finds_each_job_that_ends_leaders)
{
    for (int count = 1; count <= 12; ++count)
    {
        add_jobs(count);
        for (const auto& faulty : jobs)
        {
            bisection_group failed;
            std::optional<std::string> found;
            int ends = 0;
            while (!found && ends < 10)
            {
                fake_leader leader(failed, jobs);
                leader.run(never, faulty.id);
                found = leader.search.faulty_job();
                failed = leader.search.note();
                ends += found ? 0 : 1;
            }
            CHECK(found.has_value());
            STRCMP_EQUAL(faulty.id.c_str(), found->c_str());
            // Halves of 12 jobs, then `ends_of_faulty_job`.
            CHECK(ends <= 4 + ends_of_faulty_job + 1);
        }
    }
}

// Guards against a healthy job that is blamed since leaders were ended, for
// another cause, while they had not yet begun it (review/9).
TEST(job_bisection, leader_that_ends_in_control_clears_the_job)
{
    add_jobs(1);
    bisection_group failed{"", bisection_key(jobs[0]), false, true, 2};
    fake_leader quarantines(failed, jobs);
    quarantines.run(never, "");
    STRCMP_EQUAL("j10", quarantines.search.faulty_job()->c_str());

    failed.ends = 1;
    fake_leader controls(failed, jobs);
    controls.run(time_point(probation_time), "");
    CHECK(!controls.search.faulty_job());
    CHECK(!controls.search.may_begin("j10"));
    CHECK(controls.search.note().control);
    LONGS_EQUAL(2, controls.search.note().ends);
    controls.run(never, "");
    CHECK(controls.search.done());
}

// Guards against new jobs that wait for one group after the other: all begin
// within `probation_time`, whatever their number; or within 2.5 s a job that is
// alone after a leader has ended.
TEST(job_bisection, jobs_in_question_begin_soon)
{
    const auto time_to_last =
        [this](const bisection_group& failed, std::uint64_t random_value)
    {
        fake_leader leader(failed, jobs, random_value);
        while (!leader.search.may_begin(jobs.back().id) ||
               leader.now == time_point{})
        {
            leader.search.advance(leader.now, true);
            leader.search.on_planned(leader.now);
            leader.now += milliseconds(10);
        }
        return leader.now.time_since_epoch();
    };
    for (const int count : {2, 7, 500})
    {
        add_jobs(count);
        CHECK(time_to_last({}, 0) <= probation_time + milliseconds(50));
    }
    add_jobs(1);
    CHECK(time_to_last({}, 0) <= milliseconds(50));
    const bisection_group failed{"", bisection_key(jobs[0])};
    CHECK(time_to_last(failed, 1999) <= milliseconds(2550));
    CHECK(time_to_last(failed, 0) >= probation_time);
}

// Guards against a group that counts as outlived though no plan has begun it.
TEST(job_bisection, time_of_a_group_starts_with_a_plan)
{
    add_jobs(2);
    job_bisection search({}, no_random);
    for (auto& job : jobs)
    {
        search.add(job);
    }
    search.advance(time_point{}, true);
    CHECK(!search.may_begin("j10"));
    CHECK(!search.advance(time_point{}, false));
    CHECK(search.advance(time_point{}, true));
    CHECK(search.may_begin("j10"));
    search.advance(time_point(probation_time * 4), true);
    CHECK(!search.may_begin("j11"));
    STRCMP_EQUAL(bisection_key(jobs[0]).c_str(), search.note().to.c_str());
    search.on_planned(time_point(probation_time * 4));
    search.advance(time_point(probation_time * 5), true);
    STRCMP_EQUAL(bisection_key(jobs[1]).c_str(), search.note().to.c_str());
}

TEST_GROUP(job_probation){};

// Guards against a job that has been outlived and is still in question, and
// against one that is no longer after a leader that did not outlive it.
TEST(job_probation, ends_some_time_after_the_job_has_begun)
{
    job_probation probation;
    probation.add("waits", false);
    probation.add("begins", false);
    probation.add("restored", true);
    probation.begin("begins", time_point{});
    probation.begin("unknown", time_point{});
    CHECK(probation.begun() == (probation_list{{"begins", "restored"}, false}));
    probation.begin("begins", time_point(probation_time / 2));
    probation.advance(time_point(probation_time));
    CHECK(!probation.contains("begins"));
    CHECK(probation.contains("waits"));
    CHECK(probation.begun() == (probation_list{{"restored"}, false}));
}
