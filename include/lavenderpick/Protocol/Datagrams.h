#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <variant>
#include <vector>

namespace Lavenderpick {

/// An entry's request for load reports, renewed every few seconds.
struct Subscribe
{
    std::string entry;
    std::string address; ///< Where the agent can fetch the document.
    std::int64_t documentVersion { 0 };
    /// Shortest time between two reports, so that an entry's traffic does not grow with its subset.
    std::int64_t reportIntervalMilliseconds { 1000 };

    bool operator==(const Subscribe &) const = default;
};

/// An agent's load, as its engine last reported it. Tokens and milliseconds.
struct LoadReport
{
    std::string upstream;
    std::int64_t documentVersion { 0 };
    std::int64_t sequence { 0 }; ///< Rises with each report of an agent's incarnation.
    std::int64_t incarnation { 0 };
    bool accepting { true };            ///< False while the upstream is draining or unhealthy.
    std::vector<std::string> models {}; ///< Models, or the services of a plain service.
    std::int64_t kvTokensInUse { 0 };
    std::int64_t kvCapacity { 0 };
    std::int64_t running { 0 };
    std::int64_t waiting { 0 };
    std::int64_t prefillBacklog { 0 };
    std::int64_t shortBacklog { -1 }; ///< The part in short prompts; -1 when not known.
    std::int64_t stepMicroseconds { 0 };
    std::int64_t ageMilliseconds { 0 }; ///< Age of the engine's own report.

    bool operator==(const LoadReport &) const = default;
};

/// An entry's exchange with a random peer.
struct Gossip
{
    std::string entry;
    std::string address;
    std::int64_t documentVersion { 0 };
    std::int64_t confirmationAgeMilliseconds {
        0
    }; ///< Time since the store confirmed that version.
    std::map<std::string, double>
            usage {}; ///< Cost per second admitted here, for customers near their budget.
    std::int64_t usageEpoch { 0 }; ///< Averages of different epochs are not mixed.
    bool answer { false };         ///< Set on the reply, which is not answered again.

    bool operator==(const Gossip &) const = default;
};

using Datagram = std::variant<Subscribe, LoadReport, Gossip>;

/// Bytes of one datagram: CBOR, then a keyed tag of `datagramTagBytes`.
std::string encodeDatagram(const Datagram &datagram, const std::string &key);

/// Throws `Error` of kind Unauthenticated for a wrong tag and InvalidMessage for a bad body.
Datagram decodeDatagram(const std::string &bytes, const std::string &key);

constexpr std::size_t datagramTagBytes = 16;
constexpr std::size_t maximumDatagramBytes =
        1200; ///< Fits an Ethernet frame behind common tunnels.

} // namespace Lavenderpick
