// The sheet: customers, guarantees, kinds of job and availability zones.
#ifndef POPLARRAMP_MODEL_SHEET_HPP
#define POPLARRAMP_MODEL_SHEET_HPP

#include "base/time.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace poplarramp
{

enum class urgency
{
    urgent,
    patient,
};

std::string_view name_of(urgency value);
// Returns nullopt for an unknown name.
std::optional<urgency> urgency_of(std::string_view name);

// Servers of one rack that have the same number of accelerators.
struct rack_spec
{
    std::string name;
    int servers = 0;
    int accelerators_per_server = 0;
};

struct availability_zone
{
    std::string name;
    std::string region;
    std::vector<rack_spec> racks;
};

struct customer
{
    std::string name;
    // Limit of accelerators in use at a time over all availability zones; 0: no
    // accelerators.
    int quota_accelerators = 0;
    // Limit of queued jobs per availability zone.
    int queue_limit = 1000;
};

// `count` blocks of `shape` adjacent accelerators in one availability zone.
// The shape is a power of two from 1 to 256.
struct guarantee
{
    std::string customer;
    std::string zone;
    int shape = 1;
    int count = 0;
};

struct job_kind
{
    std::string name;
    urgency urgency_class = urgency::patient;
    bool idempotent = true;
    bool can_checkpoint = false;
    // A running task may be stopped and, if idempotent, run again.
    bool can_stop = true;
    // Availability zones that may run the kind; empty: all.
    std::vector<std::string> zones;
    // Declared run time; the estimate starts from it.
    milliseconds expected_run{0};
    // Time that a checkpoint takes.
    milliseconds checkpoint_time{0};
    // Service-level objective: the given share of jobs has its complete result
    // within this time of acceptance; 0: no objective.
    milliseconds objective_within{0};
    double objective_share = 0.99;
};

// Load that the capacity planners expect; not used for admission.
struct expected_work
{
    std::string customer;
    std::string kind;
    int accelerators = 0;
    double jobs_per_hour = 0;
};

struct capacity_sheet
{
    std::vector<availability_zone> zones;
    std::vector<customer> customers;
    std::vector<guarantee> guarantees;
    std::vector<job_kind> kinds;
    std::vector<expected_work> expected;
};

// Look-ups by name; nullptr if not found. Thread safe while the sheet does not
// change.
const customer* find_customer(const capacity_sheet& sheet,
                              std::string_view name);
const job_kind* find_kind(const capacity_sheet& sheet, std::string_view name);
const availability_zone* find_zone(const capacity_sheet& sheet,
                                   std::string_view name);

// True if the kind may run in the availability zone. Thread safe.
bool may_run_in(const job_kind& kind, std::string_view zone);

} // namespace poplarramp

#endif
