// Accounts for the resources that each customer holds over all servers, and
// tells how many more tasks its limit allows. Plain data and arithmetic.
#ifndef POPLARRAMP_POLICY_CUSTOMER_LIMITS_HPP
#define POPLARRAMP_POLICY_CUSTOMER_LIMITS_HPP

#include "model/step_job.hpp"
#include "policy/guarantee_claims.hpp"

#include <cstddef>
#include <optional>
#include <span>
#include <vector>

namespace poplarramp
{

// Resources that one task of the step counts with. Unlike on a server, the
// processors of a best-effort step count, since the limit bounds what its
// customer may use. Thread safe.
resources charged_for_task(const step_spec& step);

// False if `tasks` tasks of the step can never run together under the limit.
// Thread safe.
bool can_run_under(const resources& limit,
                   double overage,
                   const step_spec& step,
                   int tasks);

// Index of the first step that can never run under the limit. Thread safe.
std::optional<std::size_t> step_beyond_limit(const resources& limit,
                                             double overage,
                                             std::span<const step_spec> steps);

// The ledger of one plan, rebuilt from the records of the servers each time.
// Not thread safe. Precondition of all methods: the customer's index is valid.
class customer_limits
{
public:
    customer_limits() = default;
    // `overage` is the share of its limit by which a customer's use may exceed
    // it for a gang that alone is wider than the limit.
    customer_limits(std::span<const customer_use> customers, double overage);

    // False if no customer has a limit.
    bool any_limited() const
    {
        return any_limited_;
    }

    // How many of `tasks` tasks the limit lets start now; for a gang all or
    // none.
    int
    tasks_allowed(std::size_t customer, const step_spec& step, int tasks) const;

    // The same if what is being stopped had ended.
    int tasks_allowed_after_stops(std::size_t customer,
                                  const step_spec& step,
                                  int tasks) const;

    // False if no task of the step, or not the whole gang, can run even if the
    // customer held nothing.
    bool
    can_ever_run(std::size_t customer, const step_spec& step, int tasks) const;

    // Charges tasks that are placed.
    void add_placed(std::size_t customer, const step_spec& step, int tasks);

    // Records that what the customer holds in runs will be released soon.
    void add_stopping(std::size_t customer, const resources& released);

    // Withdraws `add_stopping`.
    void keep_running(std::size_t customer, const resources& kept);

    // Assigns resources that will be released to tasks that wait for them.
    void add_expected(std::size_t customer, const step_spec& step, int tasks);

    // Resources that the customer holds now.
    const resources& held(std::size_t customer) const
    {
        return accounts_[customer].held;
    }

private:
    struct account
    {
        resources limit;
        bool limited = false;
        resources held;
        // What it will hold when the runs that are being stopped have ended and
        // the tasks that wait for that have started.
        resources held_after_stops;
    };

    int tasks_allowed(const account& use,
                      const resources& held,
                      const step_spec& step,
                      int tasks) const;

    std::vector<account> accounts_;
    double overage_ = 0;
    bool any_limited_ = false;
};

} // namespace poplarramp

#endif
