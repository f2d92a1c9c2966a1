#pragma once

#include <string_view>

namespace Lavenderpick {

/// Whether a request ran, as far as the teller can prove it.
enum class Ran {
    No,
    Yes,
    Unknown,
};

std::string_view toString(Ran ran);

/// Throws `Error` of kind InvalidMessage for any other text than no, yes or unknown.
Ran parseRan(std::string_view text);

/// Why a request was refused. Each reason has a counter `lavenderpick_refusals_total{reason}`.
enum class RefusalReason {
    BadRequest,
    BodyTooLarge,
    Unauthenticated,
    Forbidden,
    UnknownModel,
    UnknownService,
    KeyRequired,
    KeyReused,
    CustomerBudget,
    QueueFull,
    DeadlineTooShort,
    DeadlineExceeded,
    Draining,
    NoUpstream,
    UpstreamMemory,
    StoreUnavailable,
    NotReady,
    StaleDocument,
    TooManyStreams,
    Cancelled,
    UpstreamFailed,
    NotFound,
    QuarantinedPrompt,
    UpstreamRateLimit,
    UpstreamPause,
};

constexpr int refusalReasonCount = static_cast<int>(RefusalReason::UpstreamPause) + 1;

std::string_view toString(RefusalReason reason);

/// Throws `Error` of kind InvalidMessage for an unknown name.
RefusalReason parseRefusalReason(std::string_view name);

/// Why a request was tried again. Each reason has a counter `lavenderpick_retries_total{reason}`.
enum class RetryReason {
    ConnectionFailed,
    SilentConnection,
    UpstreamRefused,
    UpstreamFailed,
    UpstreamDraining,
    StreamInterrupted,
    ReservationConflict,
    StoreConflict,
};

constexpr int retryReasonCount = static_cast<int>(RetryReason::StoreConflict) + 1;

std::string_view toString(RetryReason reason);

} // namespace Lavenderpick
