#include "domain/scan_pace.hpp"

#include <algorithm>

namespace poplarramp
{

namespace
{

// 500, 125, 32, 8, 2, 1: 8 rows of 65,536 bytes take 3 s at 2 Mbit/s.
constexpr int shrink_factor = 4;
constexpr int grow_factor = 2;

// A call whose connection has gone silent is noticed after this time.
constexpr milliseconds max_timeout{8000};

} // namespace

void scan_pace::on_page(milliseconds took)
{
    // A page of twice the size then still has half of its timeout left.
    if (took * grow_factor * 2 <= timeout_)
    {
        rows_ = std::min(max_rows, rows_ * grow_factor);
    }
    if (took * grow_factor * 2 <= min_timeout)
    {
        timeout_ = min_timeout;
    }
}

void scan_pace::on_error(const failure& error)
{
    if (error.code != result_code::timeout &&
        error.code != result_code::answer_lost)
    {
        return;
    }
    rows_ = (rows_ + shrink_factor - 1) / shrink_factor;
    timeout_ = std::min(max_timeout, timeout_ * 2);
}

} // namespace poplarramp
