// JSON form of the progress of a step, as a part of the documents of a job.
#ifndef POPLARRAMP_DOMAIN_PROGRESS_CODEC_HPP
#define POPLARRAMP_DOMAIN_PROGRESS_CODEC_HPP

#include "domain/job_progress.hpp"

#include <json/value.h>

namespace poplarramp
{

// Thread safe, like all functions here.
Json::Value to_json(const step_progress& step);

// Restores what `to_json` wrote into a step that has its tasks and no progress.
// Precondition: `json` is an object. Returns false if it cannot be decoded; the
// step is then partly restored.
bool read_step(const Json::Value& json, step_progress& step);

// Whether a step has lost servers. Precondition: `read_step` returned true.
bool has_losses(const Json::Value& json);

} // namespace poplarramp

#endif
