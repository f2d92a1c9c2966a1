#include "lavenderpick/Records/JobRecord.h"

#include "lavenderpick/Base/Error.h"
#include "lavenderpick/Base/Json.h"

namespace Lavenderpick {

std::string_view toString(JobState state)
{
    switch (state) {
    case JobState::Running:
        return "running";
    case JobState::Done:
        return "done";
    case JobState::Failed:
        return "failed";
    }
    return "failed";
}

JobState parseJobState(std::string_view text)
{
    for (const JobState state : { JobState::Running, JobState::Done, JobState::Failed }) {
        if (toString(state) == text)
            return state;
    }
    throw Error(ErrorKind::InvalidMessage, "'" + std::string(text) + "' is not a state of a job",
                "Use running, done or failed.");
}

nlohmann::json JobRecord::toJson() const
{
    return {
        { "id", id },
        { "customer", customer },
        { "state", std::string(toString(state)) },
        { "holder", holder },
        { "fence", fence },
        { "token", token },
        { "request", request },
        { "reason", reason },
        { "submittedAt", submittedAt },
        { "deadlineAt", deadlineAt },
        { "expiresAt", expiresAt },
    };
}

JobRecord JobRecord::parse(const nlohmann::json &json)
{
    return JobRecord {
        .id = requireString(json, "id"),
        .customer = requireString(json, "customer"),
        .state = parseJobState(requireString(json, "state")),
        .holder = requireString(json, "holder"),
        .fence = requireInteger(json, "fence", 1),
        .token = requireString(json, "token"),
        .request = json.value("request", nlohmann::json()),
        .reason = optionalString(json, "reason", ""),
        .submittedAt = requireInteger(json, "submittedAt"),
        .deadlineAt = requireInteger(json, "deadlineAt"),
        .expiresAt = requireInteger(json, "expiresAt"),
    };
}

RowKey JobRecord::row(const std::string &id)
{
    return { .table = "job", .key = id };
}

RowKey JobRecord::indexRow(const std::string &holder, const std::string &id)
{
    return { .table = "job-holder", .key = holder + "/" + id };
}

std::string JobRecord::objectPrefix(const std::string &id)
{
    return "job/" + id + "/";
}

std::string JobRecord::inputObject() const
{
    return objectPrefix(id) + "input";
}

std::string JobRecord::progressObject() const
{
    return objectPrefix(id) + "progress-" + std::to_string(fence);
}

std::string JobRecord::resultObject() const
{
    return objectPrefix(id) + "result-" + std::to_string(fence);
}

std::string JobRecord::manifestObject() const
{
    return objectPrefix(id) + "manifest-" + std::to_string(fence);
}

nlohmann::json JobManifest::toJson() const
{
    return { { "length", length }, { "digest", digest }, { "fence", fence } };
}

JobManifest JobManifest::parse(const nlohmann::json &json)
{
    return JobManifest {
        .length = requireInteger(json, "length"),
        .digest = requireString(json, "digest"),
        .fence = requireInteger(json, "fence", 1),
    };
}

} // namespace Lavenderpick
