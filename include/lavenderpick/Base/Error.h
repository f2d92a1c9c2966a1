#pragma once

#include <stdexcept>
#include <string>
#include <string_view>

namespace Lavenderpick {

enum class ErrorKind {
    InvalidSettings,  ///< A settings file or command line is wrong; the remedy names file and line.
    InvalidDocument,  ///< A section of the document is wrong.
    InvalidMessage,   ///< Bytes from outside do not form a valid message.
    Unauthenticated,  ///< The peer or caller did not prove who it is.
    Forbidden,        ///< The caller may not do this.
    Conflict,         ///< A conditional write lost; the message names the current version.
    StoreUnavailable, ///< The store refused or could not be reached: the write did not happen.
    StoreOutcomeUnknown, ///< The store's answer was lost: the write may have happened.
    UpstreamUnavailable, ///< The upstream could not be reached: the request did not run.
    UpstreamFailed,      ///< The upstream failed after it may have run the request.
    DeadlineExceeded,
    NotFound,
};

std::string_view toString(ErrorKind kind);

/// Every failure that crosses a function's boundary. `what()` holds the message and the remedy.
class Error : public std::runtime_error
{
public:
    /// `remedy` says what the reader can do about it, as a full sentence.
    Error(ErrorKind kind, const std::string &message, const std::string &remedy);

    ErrorKind kind() const { return m_kind; }
    const std::string &remedy() const { return m_remedy; }

private:
    ErrorKind m_kind;
    std::string m_remedy;
};

} // namespace Lavenderpick
