#pragma once

#include "lavenderpick/Platform/Table.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace Lavenderpick {

enum class JobState {
    Running,
    Done,
    Failed,
};

std::string_view toString(JobState state);

/// Throws `Error` of kind InvalidMessage for any other text than running, done or failed.
JobState parseJobState(std::string_view text);

/// The stored state of a job, row `job/<id>`.
struct JobRecord
{
    std::string id;
    std::string customer;
    JobState state { JobState::Running };
    std::string holder;             ///< The holder whose lease covers the job.
    std::int64_t fence { 1 };       ///< Rises with each holder; names that holder's objects.
    std::string token {};           ///< Unique to the writer of this version of the record.
    nlohmann::json request {};      ///< Parameters of the completion; the prompt is an object.
    std::string reason {};          ///< Failed: name of a refusal reason.
    std::int64_t submittedAt { 0 }; ///< Seconds since the Unix epoch, like the two below.
    std::int64_t deadlineAt { 0 };  ///< The job is failed when it is not done by then.
    std::int64_t expiresAt { 0 };   ///< The record and its objects may be removed after that.

    bool operator==(const JobRecord &) const = default;

    nlohmann::json toJson() const;

    /// Throws `Error` of kind InvalidMessage.
    static JobRecord parse(const nlohmann::json &json);

    static RowKey row(const std::string &id);

    /// Row of the index of jobs by holder.
    static RowKey indexRow(const std::string &holder, const std::string &id);

    /// Names of the job's objects. All that a holder writes carry its fence.
    static std::string objectPrefix(const std::string &id);
    std::string inputObject() const;
    std::string progressObject() const;
    std::string resultObject() const;
    std::string manifestObject() const;
};

/// Says which result of a job is whole; written after the result and before the record.
struct JobManifest
{
    std::int64_t length { 0 }; ///< Bytes of the result.
    std::string digest {};     ///< SHA-256 of the result, in hex.
    std::int64_t fence { 0 };

    bool operator==(const JobManifest &) const = default;

    nlohmann::json toJson() const;

    /// Throws `Error` of kind InvalidMessage.
    static JobManifest parse(const nlohmann::json &json);
};

} // namespace Lavenderpick
