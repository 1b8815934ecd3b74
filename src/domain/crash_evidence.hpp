// Evidence that a task crashes the backend servers that start it. Plain data.
#ifndef POPLARRAMP_DOMAIN_CRASH_EVIDENCE_HPP
#define POPLARRAMP_DOMAIN_CRASH_EVIDENCE_HPP

#include "domain/server_registry.hpp"

#include <vector>

namespace poplarramp
{

// How a run stands to the loss of its server, from the least to the most likely
// cause.
enum class loss_role
{
    // It was at work, while the start of another run may be the cause.
    bystander,
    // It may have been at work, like all others on the server.
    at_work,
    // It was not seen at work: its start may be the cause.
    at_start,
};

// A server that was lost while a run of the task was on it, or may have been.
struct server_loss
{
    server_incarnation server;
    loss_role role = loss_role::at_work;
    // The task was kept apart from others, and no other could be the cause.
    bool alone = false;
};

// Not thread safe.
class crash_evidence
{
public:
    const std::vector<server_loss>& losses() const
    {
        return losses_;
    }

    // Adds a loss. Each server counts once.
    void add(server_loss loss);

    // Removes the loss of a server that was only out of reach. Returns false
    // if there is none.
    bool withdraw(const server_incarnation& server);

    void clear();

    // How the next run of the task uses its server. A suspect is kept apart, so
    // that the next loss tells whether it is the cause.
    server_use required_use() const;

    // True if the task is not to be started again.
    bool is_conclusive() const;

private:
    std::vector<server_loss> losses_;
};

} // namespace poplarramp

#endif
