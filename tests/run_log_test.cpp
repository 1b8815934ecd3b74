// Log lines about wide steps.
#include "domain/run_log.hpp"
#include "domain_simulation.hpp"

#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <boost/smart_ptr/make_shared.hpp>

#include <sstream>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace poplarramp;
using namespace poplarramp::fakes;

namespace
{

// The lines that were logged since its construction.
class captured_log
{
public:
    captured_log() : sink_(boost::log::add_console_log(text_))
    {
        set_log_level(log_level::info);
    }
    captured_log(const captured_log&) = delete;
    captured_log& operator=(const captured_log&) = delete;
    ~captured_log()
    {
        boost::log::core::get()->remove_sink(sink_);
        set_log_level(log_level::error);
    }

    // Lines that contain all of the texts.
    std::vector<std::string> lines(const std::vector<std::string>& texts)
    {
        sink_->flush();
        std::istringstream all(text_.str());
        std::vector<std::string> result;
        for (std::string line; std::getline(all, line);)
        {
            bool matches = true;
            for (const auto& text : texts)
            {
                matches = matches && line.find(text) != std::string::npos;
            }
            if (matches)
            {
                result.push_back(line);
            }
        }
        return result;
    }

    // Sum of the field `runs` over these lines.
    int runs(const std::vector<std::string>& texts)
    {
        int sum = 0;
        for (const auto& line : lines(texts))
        {
            sum += std::stoi(line.substr(line.find(" runs=") + 6));
        }
        return sum;
    }

private:
    std::ostringstream text_;
    boost::shared_ptr<boost::log::sinks::synchronous_sink<
        boost::log::sinks::text_ostream_backend>>
        sink_;
};

} // namespace

TEST_GROUP(run_log){};

// Guards against a step of 470 tasks that fills the log with lines of its
// members, so that those about jobs are dropped: each decision on the job is
// told, and its failed members are.
TEST(run_log, wide_step_is_told_in_few_lines)
{
    constexpr int tasks = 470;
    constexpr int servers = 60;
    constexpr int failing_tasks = 8;
    domain_simulation sim;
    for (int i = 0; i < servers; ++i)
    {
        sim.add_server(std::string("s").append(std::to_string(100 + i)));
    }
    CHECK(sim.run_until(milliseconds(5000),
                        [&sim] { return sim.leader() != nullptr; }));
    sim.run(milliseconds(1000));
    sim.servers.at("s100").fails_all = true;
    captured_log log;
    sim.submit(0, "wide", "q0", one_step(tasks, 1));
    CHECK(sim.run_until(
        milliseconds(20000),
        [&sim] { return sim.state("wide") == step_job_state::completed; }));
    // The leader learns that the state is stored.
    sim.run(milliseconds(100));
    const std::string job = "job=wide";
    CHECK_EQUAL(1, log.lines({job, "A job has arrived."}).size());
    CHECK(!log.lines({job, "Tasks are placed.", "tasks=470"}).empty());
    CHECK(log.runs({job, "Starts are ordered."}) >= tasks + failing_tasks);
    CHECK_EQUAL(failing_tasks,
                log.runs({job, "Runs have ended.", "failed: task waits"}));
    CHECK(!log.lines({job, "Runs have ended.", "@s100"}).empty());
    CHECK_EQUAL(tasks, log.runs({job, "Runs have ended.", "done: task done"}));
    CHECK_EQUAL(1, log.lines({job, "is stored.", "completed"}).size());
    CHECK(log.lines({job}).size() <= 30);
}

// Guards against one line for events of different causes or attempts.
TEST(run_log, causes_are_kept_apart)
{
    captured_log log;
    run_log lines;
    for (int i = 0; i < 3; ++i)
    {
        lines.add(log_level::info,
                  "Runs have ended.",
                  {{"job", 0, 0, i}, 1},
                  "s1",
                  i == 2 ? "failed: task waits" : "done: task done");
    }
    lines.flush_job("other");
    CHECK(log.lines({"Runs have ended."}).empty());
    lines.flush_job("job");
    CHECK_EQUAL(2, log.lines({"Runs have ended."}).size());
    CHECK_EQUAL(
        1, log.lines({"runs=2", "first=0@s1", "last=1@s1", "done"}).size());
    lines.flush_all();
    CHECK_EQUAL(2, log.lines({"Runs have ended."}).size());
}
