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
    explicit zone_fixture(int servers = 2) : sim(servers)
    {
        a = &sim.add_process("a");
        b = &sim.add_process("b");
        sim.activate(*a);
        run_for(2000);
    }

    void run_for(int ms)
    {
        sim.run_for(milliseconds(ms));
    }

    // Stores a job and, unless `to` is null, enqueues it at that scheduler.
    job submit(job item, scheduler_process* to, int run_ms = 1000)
    {
        item.request.payload = std::to_string(run_ms);
        item.accepted = sim.now();
        sim.store_job(item);
        if (to)
        {
            to->zone->enqueue(item);
        }
        return item;
    }

    // Injects the fault into the next `count` calls of one kind, to one server
    // or to all.
    void fail(const std::string& kind,
              call_fault fault,
              int count,
              const std::string& to = {})
    {
        sim.fault_of = [kind, fault, count, to](const call_info& info) mutable
        {
            const bool hit = info.kind == kind && count > 0 &&
                             (to.empty() || info.target == to);
            count -= hit ? 1 : 0;
            return hit ? fault : call_fault::none;
        };
    }

    void fail_over()
    {
        a->killed = true;
        sim.activate(*b);
    }

    int calls(const std::string& kind, time_point since = {}) const
    {
        return static_cast<int>(std::count_if(sim.calls.begin(),
                                              sim.calls.end(),
                                              [&](const call_info& info) {
                                                  return info.kind == kind &&
                                                         info.when >= since;
                                              }));
    }

    job_state state(const std::string& id)
    {
        return sim.stored_job(id)->outcome.state;
    }

    zone_simulation sim;
    scheduler_process* a = nullptr;
    scheduler_process* b = nullptr;
};

} // namespace poplarramp::fakes

#endif
