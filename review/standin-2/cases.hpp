#ifndef POPLARRAMP_REVIEW_CASES_HPP
#define POPLARRAMP_REVIEW_CASES_HPP

#include "world.hpp"

namespace review
{

enum class verdict
{
    held = 0,
    broken = 1,
    not_run = 2,
};

// The leading process is killed five times; a job that is at work meanwhile
// must still end.
verdict leader_kills(world& site, bool trouble);

// The worker of four small tasks that last crashes twice. Other jobs must still
// find room.
verdict held_servers(world& site, bool trouble);

// A job of tasks that last takes all accelerators. A job within the guarantee
// of another tenant must get its share.
verdict lent_guarantee(world& site, bool trouble);

// The four tasks of a job that lasts fail again and again. Other jobs must
// still find room.
verdict failing_tasks(world& site, bool trouble);

// A client hands in many legal jobs that can never run. The processes must stay
// within their memory and run other jobs.
verdict flood(world& site, bool trouble);

} // namespace review

#endif
