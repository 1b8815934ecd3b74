// Ends of the attempts at a task, or at a gang as a whole, as far as they count
// against the limit of attempts. Plain data.
#ifndef POPLARRAMP_DOMAIN_ATTEMPT_ENDS_HPP
#define POPLARRAMP_DOMAIN_ATTEMPT_ENDS_HPP

#include "domain/server_registry.hpp"

#include <span>
#include <vector>

namespace poplarramp
{

// Attempts that have failed. Each counts once, however often and in whichever
// order its ends are listed. Not thread safe.
class failed_attempts
{
public:
    failed_attempts() = default;

    // Restores failures. `unnamed` are counted without being named, as by a
    // program that did not store their numbers; attempts up to `unnamed_until`
    // count no more. Precondition: `named` rises and begins above that.
    failed_attempts(int unnamed, int unnamed_until, std::vector<int> named);

    // Counts an attempt. Returns false if it was counted before.
    bool add(int attempt);

    bool contains(int attempt) const;
    int count() const;

    // Highest attempt that was counted; 0 if there is none.
    int newest() const;

    // Without the unnamed ones, rising. Valid until the next change.
    std::span<const int> named() const
    {
        return named_;
    }

private:
    int unnamed_ = 0;
    int unnamed_until_ = 0;
    std::vector<int> named_;
};

// A gang member that has ended, but whose server has not listed how.
struct unlisted_end
{
    int task = 0;
    int attempt = 0;
    server_incarnation server;
};

// Not thread safe.
class unlisted_ends
{
public:
    void add(unlisted_end end);

    // Returns false if there is none.
    bool remove(int task, int attempt);

    // Number of attempts, apart from these failures, that may have failed.
    int attempts_besides(const failed_attempts& failures) const;

    // Valid until the next change.
    std::span<const unlisted_end> all() const
    {
        return ends_;
    }

private:
    std::vector<unlisted_end> ends_;
};

} // namespace poplarramp

#endif
