// Remembers within one plan which shapes fit on the servers, so that many steps
// of the same shape cost one search.
#ifndef POPLARRAMP_POLICY_SHAPE_MEMO_HPP
#define POPLARRAMP_POLICY_SHAPE_MEMO_HPP

#include "policy/step_placement.hpp"

#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace poplarramp
{

// Valid while room on the servers only shrinks. Not thread safe.
class shape_memo
{
public:
    // Whether all tasks of the request fit; nothing if that is not known.
    std::optional<bool> fits(const placement_request& request) const;

    void note(const placement_request& request, bool fits);

private:
    // What decides on a placement, but for the number of tasks.
    using shape = std::tuple<std::string,
                             std::vector<std::string>,
                             std::string,
                             std::string,
                             std::int64_t,
                             std::int64_t,
                             std::int64_t,
                             bool,
                             bool,
                             bool,
                             double>;

    struct known_tasks
    {
        // Largest number that fits, and smallest that does not.
        int max_fit = 0;
        std::optional<int> min_unfit;
    };

    static std::optional<shape> shape_of(const placement_request& request);

    std::map<shape, known_tasks> known_;
};

} // namespace poplarramp

#endif
