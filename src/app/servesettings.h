#pragma once

#include "core/ids.h"
#include "core/units.h"
#include "settings/resolution.h"

#include <string>
#include <vector>

namespace App {

/// Typed settings of the serve command.
struct ServeSettings {
    Core::EntryVmId id;
    Core::FailureDomainId failureDomain;
    Core::RegionId region;
    Core::Address listen;
    Core::Address peerListen;
    Core::Address store;
    std::size_t threads = 0;
    /// Peer addresses of entry VMs to contact first; may be empty.
    std::vector<Core::Address> peers;
    /// Separate address for metrics, time line and log level; empty serves them on the callers' address only.
    Core::Address adminListen;
    std::string logLevel;
    /// Events that the time line holds.
    std::size_t timelineCapacity = 0;
    /// Connections of callers that are open at the same time.
    std::size_t maximumConnections = 0;
    /// Longest time for which a planned stop goes on serving callers that hold a look-up answer.
    Core::Millis leaveLimit { 0 };
};

/// Every setting of the serve command.
auto serveCatalogue() -> const Settings::Catalogue&;

/// Resolves the serve settings from the flags and this process's environment.
auto resolveServeSettings(const std::vector<std::string>& arguments) -> Settings::Resolution;

/// The resolution must have no problems.
auto typedServeSettings(const Settings::Resolution& resolution) -> ServeSettings;

} // namespace App
