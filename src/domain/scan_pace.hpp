// Size and timeout of the pages of a scan, adapted to what arrives: over a slow
// link a full page takes longer than the store usually needs. Plain data.
#ifndef POPLARRAMP_DOMAIN_SCAN_PACE_HPP
#define POPLARRAMP_DOMAIN_SCAN_PACE_HPP

#include "base/result.hpp"
#include "base/time.hpp"

namespace poplarramp
{

// Not thread safe.
class scan_pace
{
public:
    int rows() const
    {
        return rows_;
    }

    milliseconds timeout() const
    {
        return timeout_;
    }

    // To be called when a page has arrived, with the time that it took.
    void on_page(milliseconds took);

    // To be called when a page has not arrived. Makes the next page smaller and
    // its timeout longer, unless the store has refused the call.
    void on_error(const failure& error);

private:
    int rows_ = max_rows;
    milliseconds timeout_ = min_timeout;

    // A page has at most 500 rows.
    static constexpr int max_rows = 500;
    // A page normally takes some milliseconds, and 100 times as long when the
    // store is slow.
    static constexpr milliseconds min_timeout{2000};
};

} // namespace poplarramp

#endif
