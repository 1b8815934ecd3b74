// JSON encoding of a step job in the table.
#ifndef POPLARRAMP_MODEL_STEP_JOB_CODEC_HPP
#define POPLARRAMP_MODEL_STEP_JOB_CODEC_HPP

#include "model/step_job.hpp"

#include <json/value.h>

#include <optional>

namespace poplarramp
{

// Both functions are thread safe. For an invalid job the decoder returns
// nullopt and fills `why` with `bad_request`.
Json::Value to_json(const step_job& item);
std::optional<step_job> step_job_from_json(const Json::Value& json,
                                           failure& why);

} // namespace poplarramp

#endif
