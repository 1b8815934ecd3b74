// Accounts for the accelerators that customers are guaranteed for urgent steps:
// which waiting steps are within the guarantee, and what customers use beyond
// it. Plain data and arithmetic.
#ifndef POPLARRAMP_POLICY_GUARANTEE_CLAIMS_HPP
#define POPLARRAMP_POLICY_GUARANTEE_CLAIMS_HPP

#include "model/step_job.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace poplarramp
{

struct customer_use
{
    std::int64_t guaranteed = 0;
    // Accelerators of its urgent runs that are not being stopped.
    std::int64_t used = 0;
    // Share of the fleet relative to the weights of other customers; 0: none.
    double weight = 0;
    // The most that its tasks may use over all servers; 0: no limit.
    resources limit = {};
    // What its runs use, and those that may exist or are being stopped.
    resources held = {};
};

// Not thread safe. Precondition of all methods: the customer's index is valid.
class guarantee_claims
{
public:
    explicit guarantee_claims(std::vector<customer_use> customers);

    // True if the customer's urgent runs, its earlier claims and this one
    // together are within its guarantee; the claim then counts. To be called
    // for the waiting steps in the order in which their jobs were accepted.
    bool claim(std::size_t customer, std::int64_t accelerators);

    // Accelerators in use beyond the guarantee. Steps of other customers that
    // are within theirs may take these, and no more.
    std::int64_t borrowed(std::size_t customer) const;

    // To be called for urgent runs that are started, or with a negative number
    // for those that are stopped.
    void add_use(std::size_t customer, std::int64_t accelerators);

private:
    std::vector<customer_use> customers_;
    std::vector<std::int64_t> claimed_;
};

} // namespace poplarramp

#endif
