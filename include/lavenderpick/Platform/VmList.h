#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace Lavenderpick {

enum class VmState {
    Live,
    Leaving,
    Gone,
};

std::string_view toString(VmState state);

/// One VM of the platform's list, which lags behind the truth.
struct Vm
{
    std::string name;
    std::string role;            ///< `entry` or `agent`.
    std::string address;         ///< Host and port of the HTTP server.
    std::string datagramAddress; ///< Host and port of the datagram socket.
    std::string upstream {};     ///< The upstream beside an agent, else empty.
    std::string region {};
    std::string availabilityZone {};
    VmState state { VmState::Live };

    bool operator==(const Vm &) const = default;

    nlohmann::json toJson() const;

    /// Throws `Error` of kind InvalidMessage.
    static Vm parse(const nlohmann::json &json);
};

struct VmChanges
{
    std::int64_t version { 0 };
    std::vector<Vm> vms {}; ///< VMs that changed after the version that was asked for.

    bool operator==(const VmChanges &) const = default;

    nlohmann::json toJson() const;

    /// Throws `Error` of kind InvalidMessage.
    static VmChanges parse(const nlohmann::json &json);
};

/// The platform's list of VMs. Safe for concurrent use; throws `Error` of kind StoreUnavailable.
class VmList
{
public:
    virtual ~VmList() = default;

    virtual VmChanges changesSince(std::int64_t version) = 0;
};

} // namespace Lavenderpick
