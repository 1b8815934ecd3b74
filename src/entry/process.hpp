// The process of one entry VM.
#ifndef POPLARRAMP_ENTRY_PROCESS_HPP
#define POPLARRAMP_ENTRY_PROCESS_HPP

#include "base/result.hpp"
#include "config/settings.hpp"

#include <string>

namespace poplarramp
{

// Runs an entry VM with `values`, which were read from `file`. SIGTERM or
// SIGINT stops it gracefully, a second one ends it immediately; SIGHUP reloads
// `file`. Returns true after a graceful stop; false and the reason in `why` if
// it could not start or was ended by a second signal. Call it on the main
// thread, once per process, after `start_log`.
bool run_entry_vm(const settings& values,
                  const std::string& file,
                  failure& why);

} // namespace poplarramp

#endif
