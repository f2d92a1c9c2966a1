#pragma once

#include "lavenderpick/Base/Reasons.h"

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace Lavenderpick {

/// Body of `POST /internal/calls`: one call to a plain service.
struct CallRequest
{
    std::string requestId;
    std::string token; ///< Identifies this attempt in the call record.
    std::string customer;
    std::string key {};                 ///< Idempotency key; empty for repeatable calls.
    std::string digest;                 ///< SHA-256 of service, method, path and body.
    std::int64_t expectedVersion { 0 }; ///< Version of the call record that must still hold.
    std::string service;
    std::string method;
    std::string path;
    std::string body;
    std::int64_t deadlineMilliseconds { 0 }; ///< Remaining time.
    bool repeatable { false };

    bool operator==(const CallRequest &) const = default;

    nlohmann::json toJson() const;

    /// Throws `Error` of kind InvalidMessage.
    static CallRequest parse(const nlohmann::json &json);
};

/// Answer to a `CallRequest`.
struct CallAnswer
{
    Ran ran { Ran::No };
    int status { 0 }; ///< HTTP status of the service; 0 unless it answered.
    std::string body {};
    std::string contentType {};
    std::string state {}; ///< State of the call record as the agent left or found it; empty when
                          ///< absent.
    std::int64_t recordVersion { 0 };
    std::string digest {}; ///< Digest in the call record that was found.

    bool operator==(const CallAnswer &) const = default;

    nlohmann::json toJson() const;
    static CallAnswer parse(const nlohmann::json &json);
};

} // namespace Lavenderpick
