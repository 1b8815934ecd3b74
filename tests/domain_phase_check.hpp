// Checks in a simulation that no run stays in a phase of its lifecycle that
// something else must end. For tests.
#ifndef POPLARRAMP_TESTS_DOMAIN_PHASE_CHECK_HPP
#define POPLARRAMP_TESTS_DOMAIN_PHASE_CHECK_HPP

#include "domain/run_lifecycle.hpp"
#include "domain/server_api.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <tuple>

namespace poplarramp::fakes
{

struct domain_simulation;
struct fake_server;
struct fake_vm;

class phase_check
{
public:
    // To be called after each tick. Reports each run of the leader that stays
    // in a phase too long while its leader, the store and its server work.
    void tick(domain_simulation& sim);

private:
    struct phase_time
    {
        run_phase phase = run_phase::placing;
        std::int64_t since = 0;
        std::int64_t seen = 0;
    };

    // VM, its incarnation, server and run.
    using run_key = std::tuple<std::string, std::uint64_t, std::string, run_id>;

    void check_server(domain_simulation& sim,
                      const fake_vm& vm,
                      const std::string& id);

    std::map<run_key, phase_time> runs_;
    std::int64_t next_check_ = 0;
};

} // namespace poplarramp::fakes

#endif
