#pragma once

#include "Services/Entry/CompletionRelay.h"
#include "Services/Entry/EntrySettings.h"
#include "lavenderpick/Document/Document.h"

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>

namespace Lavenderpick {

/// Body of `POST /v1/completions` and `POST /v1/jobs`.
struct CompletionRequest
{
    std::string model;
    std::string prompt;
    std::int64_t maximumTokens { 256 };
    bool stream { false };
    std::string priority {};                             ///< Empty: the document's first.
    std::optional<std::int64_t> deadlineMilliseconds {}; ///< Remaining time.

    bool operator==(const CompletionRequest &) const = default;

    nlohmann::json toJson() const;

    /// Throws `Error` of kind InvalidMessage.
    static CompletionRequest parse(const nlohmann::json &json);
};

/// The order for a request that arrived at `now`, checked against the document; `promptTokens` is
/// estimated. Throws `ProblemError`.
CompletionOrder makeOrder(const CompletionRequest &request, std::int64_t promptTokens,
                          const std::string &requestId, const std::string &customer,
                          const Document &document, const EntryCaps &caps, TimePoint now);

} // namespace Lavenderpick
