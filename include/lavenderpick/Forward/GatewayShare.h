#pragma once

#include <cstddef>
#include <optional>
#include <string>

namespace Lavenderpick {

/// What a gateway knows of the number of all gateways.
struct GatewayCensus
{
    enum class State {
        Unlisted, ///< The registered gateways were not read yet; seeds and peers are counted.
        Settling, ///< Read once. Gateways that started at the same time may be missing.
        Complete,
    };

    State state { State::Unlisted };
    std::size_t count { 1 }; ///< Known gateways, including this one and those that are silent.
    std::size_t rank { 0 };  ///< Position of this one among them, in an order that all share.

    bool operator==(const GatewayCensus &) const = default;
};

/// The part of a limit on all gateways together that this gateway may use without hearing from the
/// others, such that the sum in any one second stays below `excess` times the limit.
///
/// Load: all gateways have requests for the same upstream at the same time, and the datagrams by
/// which they would count each other's requests are late or lost, or a partition has just begun.
/// Without a share for each, even one request from each of 103 gateways would exceed the limit.
class GatewayShare
{
public:
    /// The gateways' common bound is one and a half times the limit and five more. The difference
    /// covers gateways that restart within the second, or whose lists differ.
    static constexpr double excess = 1.4;
    /// Counted while the registered gateways are not known; the largest deployment has 330.
    static constexpr std::size_t unlistedCount = 330;
    /// Counted at least while gateways that started at the same time may be missing in the list.
    static constexpr std::size_t settlingCount = 32;

    explicit GatewayShare(std::string ownName)
        : m_ownName(std::move(ownName))
    { }

    void setCensus(const GatewayCensus &census) { m_census = census; }
    const GatewayCensus &census() const { return m_census; }

    /// This gateway's turns among the requests of all gateways, numbered from 0: the first turn,
    /// and the requests from one turn to the next.
    struct Turns
    {
        double first { 0 };
        double spacing { 1 };
    };

    /// Empty if this gateway gets no turn, because there are too many for one each in a second.
    /// Other upstreams then give it one.
    std::optional<Turns> turns(const std::string &upstream, double requestsPerSecond) const;

private:
    std::string m_ownName;
    GatewayCensus m_census;
};

} // namespace Lavenderpick
