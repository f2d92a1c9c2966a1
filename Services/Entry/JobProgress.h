#pragma once

#include <cstdint>
#include <string>

namespace Lavenderpick {

/// The content of a job's progress object (J3).
struct JobProgress
{
    std::string text {};
    std::int64_t tokens { 0 }; ///< In `text`.

    bool operator==(const JobProgress &) const = default;

    std::string toText() const;

    /// Throws `Error` of kind InvalidMessage.
    static JobProgress parse(const std::string &text);
};

} // namespace Lavenderpick
