#include "domain/crash_evidence.hpp"

#include <algorithm>

namespace poplarramp
{

namespace
{

// One server may be lost by chance while a suspect is kept apart; two are not.
constexpr int max_losses_alone = 2;

// Limit if the task could be kept apart in none of its runs. The users accept
// two starts after the third crash.
constexpr int max_losses = 5;

// A second loss makes a task a suspect even if it was seen at work.
constexpr std::size_t losses_of_suspect = 2;

} // namespace

void crash_evidence::add(server_loss loss)
{
    const bool known = std::any_of(losses_.begin(),
                                   losses_.end(),
                                   [&loss](const server_loss& item)
                                   { return item.server == loss.server; });
    if (!known)
    {
        losses_.push_back(std::move(loss));
    }
}

bool crash_evidence::withdraw(const server_incarnation& server)
{
    return std::erase_if(losses_,
                         [&server](const server_loss& item)
                         { return item.server == server; }) > 0;
}

void crash_evidence::clear()
{
    losses_.clear();
}

server_use crash_evidence::required_use() const
{
    if (losses_.size() >= losses_of_suspect)
    {
        return server_use::exclusive;
    }
    const bool at_start =
        std::any_of(losses_.begin(),
                    losses_.end(),
                    [](const server_loss& item)
                    { return item.role == loss_role::at_start; });
    return at_start ? server_use::exclusive_at_start : server_use::shared;
}

bool crash_evidence::is_conclusive() const
{
    const auto alone =
        std::count_if(losses_.begin(),
                      losses_.end(),
                      [](const server_loss& item) { return item.alone; });
    const auto likely =
        std::count_if(losses_.begin(),
                      losses_.end(),
                      [](const server_loss& item)
                      { return item.role != loss_role::bystander; });
    return alone >= max_losses_alone || likely >= max_losses;
}

} // namespace poplarramp
