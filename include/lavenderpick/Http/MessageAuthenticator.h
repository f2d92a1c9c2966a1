#pragma once

#include "lavenderpick/Base/Clock.h"

#include <string>
#include <string_view>

namespace Lavenderpick {

constexpr const char *authenticationHeader = "X-Lavenderpick-Auth";
constexpr const char *documentVersionHeader = "X-Lavenderpick-Document";

/// Signs and checks messages between processes with the cluster's key.
class MessageAuthenticator
{
public:
    MessageAuthenticator(std::string key, const Clock &clock)
        : m_key(std::move(key))
        , m_clock(clock)
    { }

    /// The value of `authenticationHeader`. `target` is the path with its query.
    std::string sign(std::string_view method, std::string_view target, std::string_view body) const;

    /// Throws `Error` of kind Unauthenticated for a wrong tag or a time more than a minute away.
    void verify(std::string_view method, std::string_view target, std::string_view body,
                const std::string &header) const;

private:
    std::string tag(std::int64_t seconds, std::string_view method, std::string_view target,
                    std::string_view body) const;

    std::string m_key;
    const Clock &m_clock;
};

} // namespace Lavenderpick
