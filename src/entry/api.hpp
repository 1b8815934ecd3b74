// HTTP API for customers and operators.
#ifndef POPLARRAMP_ENTRY_API_HPP
#define POPLARRAMP_ENTRY_API_HPP

#include "base/time.hpp"
#include "config/settings.hpp"
#include "control/controller.hpp"
#include "http/message.hpp"
#include "report/burn.hpp"
#include "report/metrics.hpp"

#include <functional>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace poplarramp
{

struct api_settings
{
    std::string vm;
    std::string zone;
    std::vector<operator_account> operators;
};

// Not thread safe; used on the control thread only. Must outlive all requests
// in flight. The HTTP server limits the body size.
class api
{
public:
    using responder = std::function<void(http_response)>;

    api(controller& control,
        api_settings values,
        clock_mapping clock,
        std::function<time_point()> now);

    // Handles one request; calls `respond` exactly once.
    void handle(http_request request, responder respond);

    // Replaces the operator accounts after a reload of the settings.
    void set_operators(std::vector<operator_account> operators);

    // Records a job that ended in this VM's availability zone.
    void on_job_ended(const job& item);

    // From now on `GET /health` fails, so that load balancers use other VMs.
    void begin_stop();

private:
    struct call;
    struct route;
    static std::span<const route> routes();

    // Name of the operator whose token the request has; nullopt if none.
    std::optional<std::string> operator_of(const http_request& request) const;

    // Fills `call.operator_name`, or replies with `unauthorized` and returns
    // false.
    bool authorize(call& item);

    void submit(call& item);
    void get_job(call& item);
    void cancel_job(call& item);
    void apply_sheet(call& item);
    void zone_out(call& item);
    void zone_back(call& item);
    void set_zone(call& item, zone_state target);
    void show_jobs(call& item);
    void show_zones(call& item);
    void show_servers(call& item);
    void show_customers(call& item);
    void show_vms(call& item);
    void show_config(call& item);
    void record_objective(const job_sample& sample);
    void show_burn(call& item);
    void show_metrics(call& item);
    void show_health(call& item);

    // Time of "wait_until"; now if it is absent. If it is invalid, replies with
    // `bad_request` and returns nullopt.
    std::optional<time_point> wait_until(call& item) const;
    // Updates the gauges of this VM and, if it is the scheduler, of its
    // availability zone.
    void set_gauges();

    controller& control_;
    api_settings settings_;
    clock_mapping clock_;
    std::function<time_point()> now_;
    metrics metrics_;
    burn_counter burn_;
    bool was_scheduler_ = false;
    bool stopping_ = false;
};

} // namespace poplarramp

#endif
