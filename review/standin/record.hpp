// The record of a case: what was sent, answered and run, one line each.
#ifndef POPLARRAMP_REVIEW_RECORD_HPP
#define POPLARRAMP_REVIEW_RECORD_HPP

#include "base/time.hpp"

#include <cstdint>
#include <fstream>
#include <string>

namespace poplarramp::review
{

// Not thread safe.
class record
{
public:
    explicit record(const std::string& file);

    // Milliseconds since the start of the record.
    std::int64_t now() const;

    void write(const std::string& who, const std::string& what);

private:
    const time_point started_;
    std::ofstream out_;
};

} // namespace poplarramp::review

#endif
