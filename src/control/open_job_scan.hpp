// Rate-limited scan of the index of open jobs, repeated to also find a job
// whose entry VM failed between its acceptance and its enqueue.
#ifndef POPLARRAMP_CONTROL_OPEN_JOB_SCAN_HPP
#define POPLARRAMP_CONTROL_OPEN_JOB_SCAN_HPP

#include "base/time.hpp"
#include "control/job_rows.hpp"

#include <functional>
#include <string>

namespace poplarramp
{

// The table serves about 2000 reads a second to all users; the scan takes at
// most 200 of them for its pages and the job rows listed there.
constexpr int scan_page_rows = 50;
constexpr milliseconds scan_page_interval{250};
constexpr milliseconds scan_interval{30000};

// Not thread safe; used on the control thread only. `rows` has to outlive it.
class open_job_scan
{
public:
    open_job_scan(job_rows& rows,
                  std::function<time_point()> now,
                  std::function<void(const std::string& id)> on_job);

    void start();
    void stop();
    void tick();

private:
    void read_page();

    job_rows& rows_;
    std::function<time_point()> now_;
    std::function<void(const std::string&)> on_job_;
    bool active_ = false;
    bool in_flight_ = false;
    // Incremented by `start` and `stop`; replies to earlier reads are ignored.
    int generation_ = 0;
    time_point next_page_{};
    std::string after_;
};

} // namespace poplarramp

#endif
