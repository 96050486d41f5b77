#pragma once

#include "configuration/servicepolicy.h"

#include <optional>
#include <string>
#include <vector>

namespace PolicyBench {

/// Service of a deployment, with its endpoints in one failure domain.
struct ServiceSpec {
    Configuration::ServicePolicy policy;
    Core::Duration serviceTime {};
    Core::Duration deadline {};
    /// Slots of each endpoint in the failure domain.
    std::vector<std::uint32_t> endpointSlots;
    /// Share of the slots that the steady load uses, from 0 to 1.
    double steadyShare = 0;
};

/// Dimensions of a deployment. The policy runs simulate one failure domain only; the other fields describe the whole
/// deployment.
struct Preset {
    std::string name;
    std::vector<std::string> regions;
    std::uint32_t failureDomains = 6;
    std::uint32_t entryVms = 10;
    Core::Duration oneWayLatencyInRegion {};
    Core::Duration oneWayLatencyBetweenRegions {};
    Core::Duration oneWayLatencyToClients {};
    Core::Mbit linkLimit { 4000 };
    Core::Duration connectionCost {};
    /// The urgent, the normal and the deferrable service, in this order.
    std::vector<ServiceSpec> services;

    [[nodiscard]] auto slots() const -> std::uint32_t;
};

/// Returns the preset "peachtree" or "ljusgrip". With the suffix "-shared", all services use one pool of upstreams.
auto findPreset(const std::string& name) -> std::optional<Preset>;
auto presetNames() -> std::vector<std::string>;

} // namespace PolicyBench
