// Caches within one planning pass which requests fit on the servers, so that
// many steps with equal requirements cost one search.
#ifndef POPLARRAMP_POLICY_FIT_CACHE_HPP
#define POPLARRAMP_POLICY_FIT_CACHE_HPP

#include "policy/step_placement.hpp"

#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace poplarramp
{

// Valid while the free capacity of the servers only shrinks. Not thread safe.
class fit_cache
{
public:
    // Whether all tasks of the request fit; nullopt if the cache cannot tell.
    std::optional<bool> fits(const placement_request& request) const;

    void record(const placement_request& request, bool fits);

private:
    // The properties that decide on a placement, except the number of tasks.
    using requirements = std::tuple<std::string,
                                    std::vector<std::string>,
                                    std::string,
                                    std::string,
                                    std::int64_t,
                                    std::int64_t,
                                    std::int64_t,
                                    bool,
                                    bool,
                                    bool,
                                    isolation,
                                    double>;

    struct task_bounds
    {
        // Largest number of tasks that fits, and smallest that does not.
        int max_fit = 0;
        std::optional<int> min_unfit;
    };

    static std::optional<requirements>
    requirements_of(const placement_request& request);

    std::map<requirements, task_bounds> bounds_;
};

} // namespace poplarramp

#endif
