#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace Lavenderpick {

/// Priority of a request; its name stands in the document's section `priorities`.
using PriorityName = std::string;

/// Body of `POST /internal/attempts`: one try of a completion on one upstream.
struct AttemptRequest
{
    std::string requestId;
    std::string attemptId;
    std::string customer;
    std::string model;
    PriorityName priority;
    std::string prompt;
    std::int64_t maximumTokens { 0 };
    std::int64_t deadlineMilliseconds { 0 }; ///< Remaining time, so that clocks need not agree.
    std::string resumeText {};               ///< Text that earlier attempts delivered.
    std::int64_t resumeOffset { 0 };         ///< Number of tokens in `resumeText`.
    std::string reservationId {};            ///< Set for prompts that span several engines.
    std::vector<std::string> handles {};     ///< KV handles of the earlier segments, in order.

    bool operator==(const AttemptRequest &) const = default;

    nlohmann::json toJson() const;

    /// Throws `Error` of kind InvalidMessage.
    static AttemptRequest parse(const nlohmann::json &json);
};

struct Usage
{
    std::int64_t promptTokens { 0 };
    std::int64_t completionTokens { 0 };
    std::int64_t cachedTokens { 0 };

    bool operator==(const Usage &) const = default;

    nlohmann::json toJson() const;
    static Usage parse(const nlohmann::json &json);
};

enum class AttemptEventType {
    Token,
    End,
    Failed,
};

/// One event of an attempt's stream.
struct AttemptEvent
{
    AttemptEventType type { AttemptEventType::Token };
    std::string attemptId;
    std::int64_t offset { 0 };   ///< Token: its place in the answer, from 0.
    std::string text {};         ///< Token: its text.
    std::int64_t count { 0 };    ///< End: tokens in the whole answer.
    std::string digest {};       ///< End: SHA-256 of the whole answer's text.
    std::string finishReason {}; ///< End: `stop` or `length`.
    Usage usage {};              ///< End.
    std::string reason {};       ///< Failed: name of a refusal reason.
    std::string ran {};          ///< Failed: no, yes or unknown.

    bool operator==(const AttemptEvent &) const = default;

    nlohmann::json toJson() const;

    /// Throws `Error` of kind InvalidMessage.
    static AttemptEvent parse(const nlohmann::json &json);
};

/// Body of `POST /internal/reservations`.
struct ReservationRequest
{
    std::string reservationId;
    std::string owner; ///< Name of the reserving entry and its incarnation.
    std::int64_t tokens { 0 };
    std::int64_t ttlMilliseconds { 0 };

    bool operator==(const ReservationRequest &) const = default;

    nlohmann::json toJson() const;
    static ReservationRequest parse(const nlohmann::json &json);
};

/// Body of `POST /internal/segments`: prefill of one part of a prompt.
struct SegmentRequest
{
    std::string requestId;
    std::string reservationId;
    std::int64_t index { 0 };
    std::string model;
    std::string prompt;
    std::vector<std::string> handles {}; ///< KV handles of the earlier segments, in order.
    std::int64_t deadlineMilliseconds { 0 };

    bool operator==(const SegmentRequest &) const = default;

    nlohmann::json toJson() const;
    static SegmentRequest parse(const nlohmann::json &json);
};

} // namespace Lavenderpick
