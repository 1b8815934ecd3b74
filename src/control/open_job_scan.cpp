#include "control/open_job_scan.hpp"

#include <utility>
#include <vector>

namespace poplarramp
{

namespace
{

constexpr milliseconds failed_page_retry_interval{1000};

} // namespace

open_job_scan::open_job_scan(job_rows& rows,
                             std::function<time_point()> now,
                             std::function<void(const std::string&)> on_job)
    : rows_(rows), now_(std::move(now)), on_job_(std::move(on_job))
{
}

void open_job_scan::start()
{
    active_ = true;
    in_flight_ = false;
    ++generation_;
    after_.clear();
    next_page_ = now_();
}

void open_job_scan::stop()
{
    active_ = false;
    ++generation_;
}

void open_job_scan::tick()
{
    if (active_ && !in_flight_ && now_() >= next_page_)
    {
        read_page();
    }
}

void open_job_scan::read_page()
{
    in_flight_ = true;
    next_page_ = now_() + scan_page_interval;
    rows_.scan(
        after_,
        scan_page_rows,
        [this, generation = generation_](const failure& error,
                                         const std::vector<std::string>& ids,
                                         const std::string& next)
        {
            if (generation != generation_)
            {
                return;
            }
            in_flight_ = false;
            if (error)
            {
                next_page_ = now_() + failed_page_retry_interval;
                return;
            }
            after_ = next;
            if (next.empty())
            {
                next_page_ = now_() + scan_interval;
            }
            for (const auto& id : ids)
            {
                on_job_(id);
            }
        });
}

} // namespace poplarramp
