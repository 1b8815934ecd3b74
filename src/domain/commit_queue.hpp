// Jobs whose state is to be stored. Decides which of them form the next batch;
// after a batch was refused permanently, its halves are tried by themselves
// until the job at fault is alone. Plain data.
#ifndef POPLARRAMP_DOMAIN_COMMIT_QUEUE_HPP
#define POPLARRAMP_DOMAIN_COMMIT_QUEUE_HPP

#include <deque>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace poplarramp
{

// Not thread safe.
class commit_queue
{
public:
    // Adds a job at the end; no effect if it waits already.
    void push(const std::string& job);

    bool empty() const
    {
        return order_.empty() && groups_.empty();
    }

    // Starts a batch: half of a refused one if there is any.
    void begin_batch();

    // Removes and returns the next job of the batch; nothing at its end.
    std::optional<std::string> next();

    // Ends the batch. Jobs of it that were not taken are kept for the next one.
    void end_batch();

    // The store refused a batch of these jobs permanently. Precondition: two
    // jobs at least.
    void split(const std::vector<std::string>& jobs);

private:
    std::deque<std::string> order_;
    std::set<std::string> waiting_;
    std::vector<std::deque<std::string>> groups_;
    std::optional<std::deque<std::string>> group_;
};

} // namespace poplarramp

#endif
