// Limits retries to a fraction of the requests, so that retries cannot multiply
// the load on a destination that is failing.
#ifndef POPLARRAMP_LIMITS_RETRY_BUDGET_HPP
#define POPLARRAMP_LIMITS_RETRY_BUDGET_HPP

namespace poplarramp
{

struct retry_budget_settings
{
    // Tokens that each first attempt adds: 0.1 allows one retry in ten requests
    // over time.
    double per_request = 0.1;
    // Maximum and initial number of tokens. Bounds a burst of retries.
    double capacity = 10;
};

// Token bucket of one destination. Not thread safe.
class retry_budget
{
public:
    explicit retry_budget(retry_budget_settings settings = {})
        : settings_(settings), tokens_(settings.capacity)
    {
    }

    // Call for each first attempt.
    void on_request();

    // Takes a token for one retry; false if there is none.
    bool try_retry();

private:
    retry_budget_settings settings_;
    double tokens_;
};

} // namespace poplarramp

#endif
