#pragma once

#include "configuration/servicepolicy.h"

#include <optional>
#include <string>
#include <vector>

namespace PolicyBench {

/// Service of a deployment, as one failure domain holds it.
struct ServiceSize {
    Configuration::ServicePolicy policy;
    Core::Duration serviceTime {};
    Core::Duration deadline {};
    /// Slots of each endpoint in the failure domain.
    std::vector<std::uint32_t> endpointSlots;
    /// Share of the slots of the steady load, 0 to 1.
    double steadyShare = 0;
};

/// Sizes of a deployment. The policy runs cover one failure domain; the rest describes the whole deployment.
struct Preset {
    std::string name;
    std::vector<std::string> regions;
    std::uint32_t failureDomains = 6;
    std::uint32_t entryVms = 10;
    Core::Duration oneWayInRegion {};
    Core::Duration oneWayBetweenRegions {};
    Core::Duration oneWayToClients {};
    Core::Mbit linkLimit { 4000 };
    Core::Duration connectionCost {};
    /// Urgent, normal and deferrable.
    std::vector<ServiceSize> services;

    [[nodiscard]] auto slots() const -> std::uint32_t;
};

/// "peachtree" or "ljusgrip"; with "-shared", all services use one pool of upstreams.
auto findPreset(const std::string& name) -> std::optional<Preset>;
auto presetNames() -> std::vector<std::string>;

} // namespace PolicyBench
