// Tells which jobs exceed the number per second that their customer is entitled
// to submit. Plain data and arithmetic.
#ifndef POPLARRAMP_POLICY_CUSTOMER_RATES_HPP
#define POPLARRAMP_POLICY_CUSTOMER_RATES_HPP

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace poplarramp
{

// A token bucket of one second for each customer. Not thread safe.
class customer_rates
{
public:
    // Records a job of a customer that is entitled to `per_second` jobs a
    // second; 0: any number. To be called once for each job, in the order of
    // acceptance as far as that is known.
    void add(const std::string& job,
             const std::string& customer,
             double per_second,
             std::int64_t accepted_unix_ms);

    // True if the job exceeded the rate when it was accepted.
    bool beyond(const std::string& job) const
    {
        return beyond_.contains(job);
    }

    // To be called when the job has ended.
    void forget(const std::string& job);

private:
    struct bucket
    {
        double tokens = 0;
        std::int64_t filled_unix_ms = 0;
    };

    std::map<std::string, bucket> buckets_;
    std::set<std::string> beyond_;
};

} // namespace poplarramp

#endif
