// The cases of this review. Each plays one order of events and judges what the
// stand-ins have seen.
#ifndef POPLARRAMP_REVIEW_3_CASES_HPP
#define POPLARRAMP_REVIEW_3_CASES_HPP

#include "deployment.hpp"

#include <functional>
#include <map>
#include <string>

namespace review
{

enum class verdict
{
    held,
    broken,
    // The case did not come about.
    not_run,
};

// `trouble` is false for a run without the disruption.
using case_function = std::function<verdict(deployment& site, bool trouble)>;

// All cases, by name.
const std::map<std::string, case_function>& all_cases();

} // namespace review

#endif
