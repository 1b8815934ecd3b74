// History of one job from the log lines of several VMs.
#ifndef POPLARRAMP_CLI_EXPLAIN_HPP
#define POPLARRAMP_CLI_EXPLAIN_HPP

#include <iosfwd>
#include <string>

namespace poplarramp
{

// Reads JSON log lines and prints those of the job in time order; text before
// the JSON object of a line is ignored. False if no line is about the job.
bool explain_job(const std::string& id, std::istream& lines, std::ostream& out);

} // namespace poplarramp

#endif
