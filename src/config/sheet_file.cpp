#include "config/sheet_file.hpp"

#include "config/json_file.hpp"
#include "config/sheet_check.hpp"

namespace poplarramp
{

namespace
{

constexpr int max_servers = 10000;
constexpr int max_quota_accelerators = 1000000;
constexpr int max_accelerators_per_server = 256;
constexpr int max_queue_limit = 1000000;
constexpr int max_guarantee_count = 10000;
constexpr int max_shape = 256;
constexpr int ms_per_day = 24 * 60 * 60 * 1000;
constexpr int max_run_ms = 14 * ms_per_day;
constexpr double max_jobs_per_hour = 1e6;

schema rack_schema(rack_spec& target)
{
    return {
        required(name_field("name", target.name)),
        required(integer_field("servers", target.servers, 1, max_servers)),
        required(integer_field("accelerators_per_server",
                               target.accelerators_per_server,
                               0,
                               max_accelerators_per_server)),
    };
}

schema zone_schema(availability_zone& target)
{
    return {
        required(name_field("name", target.name)),
        required(name_field("region", target.region)),
        required(list_field("racks", target.racks, rack_schema)),
    };
}

schema customer_schema(customer& target)
{
    return {
        required(name_field("name", target.name)),
        integer_field("quota_accelerators",
                      target.quota_accelerators,
                      0,
                      max_quota_accelerators),
        integer_field("queue_limit", target.queue_limit, 1, max_queue_limit),
    };
}

schema guarantee_schema(guarantee& target)
{
    return {
        required(name_field("customer", target.customer)),
        required(name_field("zone", target.zone)),
        required(integer_field("shape", target.shape, 1, max_shape)),
        required(integer_field("count", target.count, 1, max_guarantee_count)),
    };
}

schema kind_schema(job_kind& target)
{
    return {
        required(name_field("name", target.name)),
        required(choice_field<urgency>(
            "urgency",
            target.urgency_class,
            {{"urgent", urgency::urgent}, {"patient", urgency::patient}})),
        required(flag_field("idempotent", target.idempotent)),
        flag_field("can_checkpoint", target.can_checkpoint),
        flag_field("can_stop", target.can_stop),
        name_list_field("zones", target.zones),
        duration_field("expected_run_ms", target.expected_run, 0, max_run_ms),
        duration_field(
            "checkpoint_time_ms", target.checkpoint_time, 0, ms_per_day),
        duration_field(
            "objective_within_ms", target.objective_within, 0, max_run_ms),
        number_field("objective_share", target.objective_share, 0, 1),
    };
}

schema expected_schema(expected_work& target)
{
    return {
        required(name_field("customer", target.customer)),
        required(name_field("kind", target.kind)),
        required(
            integer_field("accelerators", target.accelerators, 0, max_shape)),
        required(number_field(
            "jobs_per_hour", target.jobs_per_hour, 0, max_jobs_per_hour)),
    };
}

} // namespace

schema sheet_schema(capacity_sheet& target)
{
    return {
        required(list_field("zones", target.zones, zone_schema)),
        required(list_field("customers", target.customers, customer_schema)),
        list_field("guarantees", target.guarantees, guarantee_schema),
        required(list_field("kinds", target.kinds, kind_schema)),
        list_field("expected", target.expected, expected_schema),
    };
}

std::optional<capacity_sheet>
parse_sheet(std::string_view text, const std::string& file, failure& why)
{
    const json_location top{file, "", result_code::bad_sheet};
    const auto json = parse_commented_json(text, file, top.code, why);
    if (!json)
    {
        return std::nullopt;
    }
    capacity_sheet result;
    if (!read_object(*json, top, sheet_schema(result), why) ||
        !check_sheet(result, top, why))
    {
        return std::nullopt;
    }
    return result;
}

std::optional<capacity_sheet> read_sheet(const std::string& file, failure& why)
{
    const auto text = read_file(file, result_code::bad_sheet, why);
    if (!text)
    {
        return std::nullopt;
    }
    return parse_sheet(*text, file, why);
}

} // namespace poplarramp
