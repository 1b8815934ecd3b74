// The process of one entry VM.
#ifndef POPLARRAMP_ENTRY_PROCESS_HPP
#define POPLARRAMP_ENTRY_PROCESS_HPP

#include "base/result.hpp"
#include "config/settings.hpp"

#include <string>

namespace poplarramp
{

// Runs an entry VM with settings that were read from `file` until a planned
// stop: SIGTERM or SIGINT stops it gracefully, a second one ends it at once,
// SIGHUP reads `file` again. Returns true after a graceful stop; false and the
// reason in `why` if it could not start or was ended at once. To be called on
// the main thread, once per process, after `start_log`.
bool run_entry_vm(const settings& values,
                  const std::string& file,
                  failure& why);

} // namespace poplarramp

#endif
