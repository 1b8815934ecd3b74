// JSON encoding of the model, used in the table, in the internal protocol
// between entry VMs and in calls to backend servers. Points in time are Unix
// milliseconds.
#ifndef POPLARRAMP_MODEL_CODEC_HPP
#define POPLARRAMP_MODEL_CODEC_HPP

#include "base/result.hpp"
#include "base/time.hpp"
#include "model/config.hpp"
#include "model/job.hpp"
#include "model/task.hpp"

#include <json/value.h>

#include <optional>
#include <string>
#include <string_view>

namespace poplarramp
{

// All functions are thread safe. On an error a decoder returns nullopt and
// fills `why` with `bad_request` and the path of the first invalid member.
// Absent members keep their default and unknown members are ignored, so that
// VMs of different versions can work together.

Json::Value to_json(const job_request& request, const clock_mapping& clock);
Json::Value to_json(const job_outcome& outcome);
Json::Value to_json(const job& item, const clock_mapping& clock);
Json::Value to_json(const task& item, const clock_mapping& clock);
Json::Value to_json(const task_status& status, const clock_mapping& clock);
Json::Value to_json(const task_event& event);
Json::Value to_json(const capacity_sheet& sheet);
Json::Value to_json(const configuration& config);

std::optional<job_request> job_request_from_json(const Json::Value& json,
                                                 const clock_mapping& clock,
                                                 failure& why);
std::optional<job_outcome> job_outcome_from_json(const Json::Value& json,
                                                 failure& why);
std::optional<job> job_from_json(const Json::Value& json,
                                 const clock_mapping& clock,
                                 failure& why);
std::optional<task> task_from_json(const Json::Value& json,
                                   const clock_mapping& clock,
                                   failure& why);
std::optional<task_status> task_status_from_json(const Json::Value& json,
                                                 const clock_mapping& clock,
                                                 failure& why);
std::optional<task_event> task_event_from_json(const Json::Value& json,
                                               failure& why);
std::optional<capacity_sheet> sheet_from_json(const Json::Value& json,
                                              failure& why);
std::optional<configuration> configuration_from_json(const Json::Value& json,
                                                     failure& why);

// Compact text of a value, and a strict parser: no comments, no duplicate keys,
// nothing after the value, at most 32 levels of nesting.
std::string json_text(const Json::Value& json);
std::optional<Json::Value> parse_json(std::string_view text, failure& why);

} // namespace poplarramp

#endif
