#include "control_fakes.hpp"

#include <CppUTest/TestHarness.h>

using namespace poplarramp;
using namespace poplarramp::tests;

TEST_GROUP(control_heartbeat)
{
    controller_simulation sim;
};

// Guards against both VMs of a pair sending heartbeats where one exchange is
// enough: heartbeats are the largest control traffic of an entry VM.
TEST(control_heartbeat, one_of_two_peers_sends)
{
    constexpr int vms = 3;
    constexpr int pairs = vms * (vms - 1) / 2;
    sim.start(vms);
    int sent = 0;
    sim.peer_fault = [&sent](const std::string&, const std::string& method)
    {
        sent += method == "heartbeat" ? 1 : 0;
        return call_fault::none;
    };
    sim.run_for(milliseconds(3000));
    // Two availability zones with a heartbeat per pair every 300 ms; each VM
    // also sends one to the other availability zone every second.
    CHECK(sent <= 2 * pairs * 11 + 2 * vms * 4);
    CHECK(sent >= 2 * pairs * 9);
}

// Guards against a VM that declares its peer dead because it waits for
// heartbeats that are lost in one direction.
TEST(control_heartbeat, both_send_while_heartbeats_are_lost)
{
    sim.start(2);
    sim.peer_fault = [](const std::string& to, const std::string& method)
    {
        return method == "heartbeat" && to == "a2" ? call_fault::request_lost
                                                   : call_fault::none;
    };
    sim.run_for(milliseconds(5000));
    for (const auto& row : sim.vm("a1").control->vms())
    {
        CHECK(row.id != "a2" || row.state == "live");
    }
    for (const auto& row : sim.vm("a2").control->vms())
    {
        CHECK(row.id != "a1" || row.state == "live");
    }
}
