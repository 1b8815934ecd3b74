// Misbehaving clients for tests, on loopback and bounded in connections, bytes
// and time.
#ifndef POPLARRAMP_TESTS_ATTACK_CLIENT_HPP
#define POPLARRAMP_TESTS_ATTACK_CLIENT_HPP

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

namespace poplarramp::testing
{

struct attack_pattern
{
    std::string name;
    // Sent on each connection, then nothing more.
    std::string bytes;
    // Sent at a time, with a pause of a few milliseconds.
    std::size_t piece = 1048576;
    std::size_t connections = 64;
};

// Patterns against a target, such as "/v1/x", with a key or without.
std::vector<attack_pattern> attack_patterns(const std::string& target,
                                            const std::string& key,
                                            std::size_t connections);

// Plays one pattern on a thread until it is destroyed. Replies are never read.
// A connection that the server closes is opened again, up to 20 times as many
// in all.
class attack_client
{
public:
    attack_client(std::uint16_t port, attack_pattern pattern);
    ~attack_client();
    attack_client(const attack_client&) = delete;
    attack_client& operator=(const attack_client&) = delete;

private:
    void run();

    const std::uint16_t port_;
    const attack_pattern pattern_;
    std::atomic<bool> stopped_ = false;
    std::thread thread_;
};

} // namespace poplarramp::testing

#endif
