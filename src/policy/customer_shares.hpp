// Order of the waiting steps by the shares of their customers: dominant
// resource fairness with weights. Plain data and arithmetic.
#ifndef POPLARRAMP_POLICY_CUSTOMER_SHARES_HPP
#define POPLARRAMP_POLICY_CUSTOMER_SHARES_HPP

#include "model/step_job.hpp"
#include "policy/customer_limits.hpp"
#include "policy/guarantee_claims.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <span>
#include <utility>
#include <vector>

namespace poplarramp
{

// What a customer holds of the fleet in the dimension of which it holds most.
// Thread safe.
double dominant_share(const resources& held, const resources& fleet);

// Hands out waiting steps, of those that have equal rank the first one of the
// customer that is furthest below its share. Idle shares are lent: no step is
// held back for them. Not thread safe.
class share_order
{
public:
    // A waiting step. Steps of lower rank come first; among equal ranks the
    // shares decide if `shared` is set.
    struct entry
    {
        std::size_t step = 0;
        std::size_t customer = 0;
        int rank = 0;
        bool shared = true;
    };

    // `entries` are in the order that applies to steps of one customer, by
    // rank. Without weights, that order is kept.
    share_order(std::vector<entry> entries,
                std::span<const customer_use> customers,
                const resources& fleet);

    // Next step, given what the customers hold now; nullopt after the last.
    std::optional<std::size_t> next(const customer_limits& ledger);

private:
    double distance(std::size_t customer, const customer_limits& ledger) const;
    void collect_rank();

    std::vector<entry> entries_;
    std::vector<double> weights_;
    double weight_sum_ = 0;
    resources fleet_;
    // The next entry that is not collected.
    std::size_t position_ = 0;
    // Entries of the current rank that wait, by customer, and how many of them
    // were handed out.
    std::map<std::size_t, std::pair<std::vector<std::size_t>, std::size_t>>
        waiting_;
};

} // namespace poplarramp

#endif
