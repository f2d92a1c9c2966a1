#include "lavenderpick/Http/MessageAuthenticator.h"

#include "lavenderpick/Base/Digest.h"
#include "lavenderpick/Base/Error.h"

#include <charconv>
#include <cstdlib>

namespace Lavenderpick {

namespace {

// VMs keep time within seconds of each other; a minute leaves room for a slow message.
constexpr std::int64_t maximumSkewSeconds = 60;

[[noreturn]] void refuse()
{
    throw Error(ErrorKind::Unauthenticated, "A message between processes is not authentic",
                "Set the same cluster key on all processes and check the VMs' clocks.");
}

} // namespace

std::string MessageAuthenticator::sign(std::string_view method, std::string_view target,
                                       std::string_view body) const
{
    const std::int64_t seconds = m_clock.wallSeconds();
    return std::to_string(seconds) + ":" + tag(seconds, method, target, body);
}

void MessageAuthenticator::verify(std::string_view method, std::string_view target,
                                  std::string_view body, const std::string &header) const
{
    const std::size_t colon = header.find(':');
    if (colon == std::string::npos)
        refuse();
    std::int64_t seconds = 0;
    const auto [position, error] = std::from_chars(header.data(), header.data() + colon, seconds);
    if (error != std::errc() || position != header.data() + colon)
        refuse();
    if (!equalConstantTime(header.substr(colon + 1), tag(seconds, method, target, body)))
        refuse();
    if (std::llabs(seconds - m_clock.wallSeconds()) > maximumSkewSeconds)
        refuse();
}

std::string MessageAuthenticator::tag(std::int64_t seconds, std::string_view method,
                                      std::string_view target, std::string_view body) const
{
    std::string bytes = std::to_string(seconds);
    bytes.append("\n").append(method).append("\n").append(target).append("\n").append(body);
    return keyedTag(m_key, bytes);
}

} // namespace Lavenderpick
