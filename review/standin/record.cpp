#include "review/standin/record.hpp"

#include <iomanip>

namespace poplarramp::review
{

record::record(const std::string& file)
    : started_(monotonic_now()), out_(file, std::ios::app)
{
}

std::int64_t record::now() const
{
    return (monotonic_now() - started_).count();
}

void record::write(const std::string& who, const std::string& what)
{
    constexpr double ms_per_s = 1000;
    constexpr int digits = 3;
    out_ << std::fixed << std::setprecision(digits)
         << static_cast<double>(now()) / ms_per_s << ' ' << who << ' ' << what
         << '\n'
         << std::flush;
}

} // namespace poplarramp::review
