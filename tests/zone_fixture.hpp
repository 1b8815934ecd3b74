// One availability zone with two entry VMs; `a` is the scheduler at the start.
#ifndef POPLARRAMP_TESTS_ZONE_FIXTURE_HPP
#define POPLARRAMP_TESTS_ZONE_FIXTURE_HPP

#include "zone_fakes.hpp"

#include <algorithm>
#include <string>

namespace poplarramp::fakes
{

struct zone_fixture
{
    explicit zone_fixture(int servers = 2) : all(servers)
    {
        a = &all.add_process("a");
        b = &all.add_process("b");
        all.activate(*a);
        run(2000);
    }

    void run(int ms)
    {
        all.run(milliseconds(ms));
    }

    // Stores a job and, unless `to` is null, enqueues it at that scheduler.
    job accept(job item, process* to, int run_ms = 1000)
    {
        item.request.payload = std::to_string(run_ms);
        item.accepted = all.now();
        all.accept(item);
        if (to)
        {
            to->zone->enqueue(item);
        }
        return item;
    }

    // Injects the fault into the next `count` calls of one kind, to one server
    // or to all.
    void fail(const std::string& kind,
              call_fault how,
              int count,
              const std::string& to = {})
    {
        all.fault_of = [kind, how, count, to](const call_info& info) mutable
        {
            const bool hit = info.kind == kind && count > 0 &&
                             (to.empty() || info.target == to);
            count -= hit ? 1 : 0;
            return hit ? how : call_fault::none;
        };
    }

    void fail_over()
    {
        a->dead = true;
        all.activate(*b);
    }

    int calls(const std::string& kind, time_point since = {}) const
    {
        return static_cast<int>(std::count_if(all.calls.begin(),
                                              all.calls.end(),
                                              [&](const call_info& info) {
                                                  return info.kind == kind &&
                                                         info.when >= since;
                                              }));
    }

    job_state state(const std::string& id)
    {
        return all.row(id)->outcome.state;
    }

    world all;
    process* a = nullptr;
    process* b = nullptr;
};

} // namespace poplarramp::fakes

#endif
