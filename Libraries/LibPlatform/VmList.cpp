#include "lavenderpick/Platform/VmList.h"

#include "lavenderpick/Base/Error.h"
#include "lavenderpick/Base/Json.h"

namespace Lavenderpick {

std::string_view toString(VmState state)
{
    switch (state) {
    case VmState::Live:
        return "live";
    case VmState::Leaving:
        return "leaving";
    case VmState::Gone:
        return "gone";
    }
    return "gone";
}

namespace {

VmState parseState(const std::string &name)
{
    for (const VmState state : { VmState::Live, VmState::Leaving, VmState::Gone }) {
        if (toString(state) == name)
            return state;
    }
    throw Error(ErrorKind::InvalidMessage, "'" + name + "' is not a state of a VM",
                "Use live, leaving or gone.");
}

} // namespace

nlohmann::json Vm::toJson() const
{
    return {
        { "name", name },
        { "role", role },
        { "address", address },
        { "datagram_address", datagramAddress },
        { "upstream", upstream },
        { "region", region },
        { "zone", availabilityZone },
        { "state", std::string(toString(state)) },
    };
}

Vm Vm::parse(const nlohmann::json &json)
{
    return Vm {
        .name = requireString(json, "name"),
        .role = requireString(json, "role"),
        .address = requireString(json, "address"),
        .datagramAddress = requireString(json, "datagram_address"),
        .upstream = optionalString(json, "upstream", ""),
        .region = optionalString(json, "region", ""),
        .availabilityZone = optionalString(json, "zone", ""),
        .state = parseState(requireString(json, "state")),
    };
}

nlohmann::json VmChanges::toJson() const
{
    nlohmann::json list = nlohmann::json::array();
    for (const Vm &vm : vms)
        list.push_back(vm.toJson());
    return { { "version", version }, { "vms", std::move(list) } };
}

VmChanges VmChanges::parse(const nlohmann::json &json)
{
    VmChanges changes { .version = requireInteger(json, "version") };
    for (const nlohmann::json &vm : requireArray(json, "vms"))
        changes.vms.push_back(Vm::parse(vm));
    return changes;
}

} // namespace Lavenderpick
