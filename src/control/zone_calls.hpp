// Calls to the scheduler of an availability zone, in this process or on another
// entry VM.
#ifndef POPLARRAMP_CONTROL_ZONE_CALLS_HPP
#define POPLARRAMP_CONTROL_ZONE_CALLS_HPP

#include "base/result.hpp"
#include "base/time.hpp"
#include "control/control_context.hpp"
#include "control/membership.hpp"
#include "control/zone_choice.hpp"
#include "inner/peer_api.hpp"
#include "model/job.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace poplarramp
{

// Not thread safe; used on the control thread only. Each `done` is called once,
// possibly before the call returns. `conflict`: the receiver is not the
// scheduler of the availability zone.
class zone_calls : public std::enable_shared_from_this<zone_calls>
{
public:
    // Precondition: `context` outlives this.
    explicit zone_calls(control_context& context);

    void enqueue(const scheduler_location& location,
                 const job& item,
                 std::function<void(failure)> done);
    void cancel(const scheduler_location& location,
                const std::string& job_id,
                std::function<void(failure)> done);
    void job_status(const scheduler_location& location,
                    const std::string& job_id,
                    std::function<void(job_status_reply)> done);

    // The same for the scheduler in this process.
    failure enqueue_here(const job& item);
    failure cancel_here(const std::string& job_id);
    job_status_reply job_status_here(const std::string& job_id);
    zone_status status_here();

    // Fetches the status of each availability zone, in the order of `zones`;
    // `error` is set, for instance to `unreachable`, where there was no reply
    // within 1 s.
    void statuses(const std::vector<std::string>& zones,
                  std::function<void(std::vector<zone_status>)> done);

    // Fetches the loads of the availability zones, at most 2 s old; those not
    // known within 500 ms are left out.
    using load_map = std::map<std::string, zone_load, std::less<>>;
    void loads(const std::vector<std::string>& zones,
               std::function<void(load_map)> done);

private:
    struct cached_load
    {
        zone_load load;
        time_point at;
    };

    void fetch_statuses(const std::vector<std::string>& zones,
                        milliseconds timeout,
                        std::function<void(std::vector<zone_status>)> done);
    void fetch_status(const std::string& zone,
                      milliseconds timeout,
                      std::function<void(zone_status)> done);
    load_map fresh_loads(const std::vector<std::string>& zones) const;
    bool is_here(const scheduler_location& location) const;

    control_context& context_;
    std::map<std::string, cached_load> cached_loads_;
};

} // namespace poplarramp

#endif
