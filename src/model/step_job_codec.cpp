#include "model/step_job_codec.hpp"

#include "model/json_reader.hpp"

namespace poplarramp
{

namespace
{

// Omits members that have the default value, to keep rows short.
class compact_object
{
public:
    template <class Value>
    compact_object& add(const char* name, const Value& value)
    {
        if (value != Value{})
        {
            json_[name] = value;
        }
        return *this;
    }

    compact_object& add(const char* name, std::int64_t value)
    {
        if (value != 0)
        {
            json_[name] = static_cast<Json::Int64>(value);
        }
        return *this;
    }

    compact_object& add(const char* name, milliseconds value)
    {
        return add(name, static_cast<std::int64_t>(value.count()));
    }

    Json::Value take()
    {
        return std::move(json_);
    }

    Json::Value& json()
    {
        return json_;
    }

private:
    Json::Value json_{Json::objectValue};
};

Json::Value to_json(const step_spec& step)
{
    compact_object out;
    out.add("tasks", step.tasks)
        .add("cpu", step.need.cpu_millis)
        .add("memory", step.need.memory_mb)
        .add("accelerators", step.need.accelerators)
        .add("estimate", step.estimate)
        .add("checkpoints", step.checkpoints)
        .add("gang", step.gang)
        .add("same_rack", step.same_rack)
        .add("label", step.label)
        .add("data_rack", step.data_rack)
        .add("max_per_server", step.max_per_server)
        .add("speculative", step.speculative)
        .add("long_running", step.long_running)
        .add("image", step.image)
        .add("target_latency", step.target_latency)
        .add("fills", step.best_effort)
        .add("may_be_away", step.max_unavailable);
    for (const int earlier : step.after)
    {
        out.json()["after"].append(earlier);
    }
    return out.take();
}

step_spec read_step(json_reader& reader)
{
    step_spec step;
    reader.read("tasks", step.tasks)
        .read("cpu", step.need.cpu_millis)
        .read("memory", step.need.memory_mb)
        .read("accelerators", step.need.accelerators)
        .read("after", step.after)
        .read("estimate", step.estimate)
        .read("checkpoints", step.checkpoints)
        .read("gang", step.gang)
        .read("same_rack", step.same_rack)
        .read("label", step.label)
        .read("data_rack", step.data_rack)
        .read("max_per_server", step.max_per_server)
        .read("speculative", step.speculative)
        .read("long_running", step.long_running)
        .read("image", step.image)
        .read("target_latency", step.target_latency)
        .read("fills", step.best_effort)
        .read("may_be_away", step.max_unavailable);
    return step;
}

} // namespace

Json::Value to_json(const step_job& item)
{
    compact_object out;
    out.add("id", item.id)
        .add("customer", item.customer)
        .add("queue", item.queue)
        .add("service", item.service)
        .add("priority", item.policy.priority)
        .add("max_attempts", item.policy.max_attempts)
        .add("stretch", item.policy.stretch)
        .add("goal", item.policy.latency_slack)
        .add("accepted", item.accepted_unix_ms)
        .add("payload", item.spec.payload)
        .add("repetitions", item.spec.repetitions)
        .add("first_due", item.spec.first_due_unix_ms)
        .add("interval", item.spec.interval);
    for (const auto& step : item.spec.steps)
    {
        out.json()["steps"].append(to_json(step));
    }
    return out.take();
}

std::optional<step_job> step_job_from_json(const Json::Value& json,
                                           failure& why)
{
    step_job item;
    json_reader reader(json, "job", why);
    reader.read("id", item.id)
        .read("customer", item.customer)
        .read("queue", item.queue)
        .read("service", item.service)
        .read("priority", item.policy.priority)
        .read("max_attempts", item.policy.max_attempts)
        .read("stretch", item.policy.stretch)
        .read("goal", item.policy.latency_slack)
        .read("accepted", item.accepted_unix_ms)
        .read("first_due", item.spec.first_due_unix_ms)
        .read("payload", item.spec.payload)
        .read("repetitions", item.spec.repetitions)
        .read("interval", item.spec.interval)
        .read_each("steps",
                   [&item](json_reader& step)
                   { item.spec.steps.push_back(read_step(step)); });
    if (!reader.good())
    {
        return std::nullopt;
    }
    return check(item.spec, why) ? std::optional(std::move(item))
                                 : std::nullopt;
}

} // namespace poplarramp
