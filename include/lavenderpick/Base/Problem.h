#pragma once

#include "lavenderpick/Base/Reasons.h"

#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>

namespace Lavenderpick {

/// An error answer in the form of RFC 9457 that says whether the request ran.
struct Problem
{
    RefusalReason reason { RefusalReason::BadRequest };
    std::string detail; ///< What went wrong and what the caller can do.
    Ran ran { Ran::No };
    std::optional<int> retryAfterSeconds {}; ///< Set where waiting helps.
    std::string requestId {};

    bool operator==(const Problem &) const = default;

    /// The HTTP status that belongs to the reason.
    int status() const;

    nlohmann::json toJson() const;

    /// Throws `Error` of kind InvalidMessage.
    static Problem parse(const nlohmann::json &json);
};

/// Carries a problem up to the place that answers the request.
class ProblemError : public std::exception
{
public:
    explicit ProblemError(Problem problem)
        : m_problem(std::move(problem))
    { }

    const Problem &problem() const { return m_problem; }
    const char *what() const noexcept override { return m_problem.detail.c_str(); }

private:
    Problem m_problem;
};

} // namespace Lavenderpick
