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
    /// Additional address for metrics, timeline and log level. If empty, only the callers' address serves them.
    Core::Address adminListen;
    std::string logLevel;
    /// Number of events that the timeline holds.
    std::size_t timelineCapacity = 0;
    /// Maximum number of open connections of callers.
    std::size_t maximumConnections = 0;
    /// Maximum time for which a planned stop keeps serving callers with a look-up answer.
    Core::Millis leaveLimit { 0 };
};

/// Returns the catalogue of all settings of the serve command.
auto serveCatalogue() -> const Settings::Catalogue&;

/// Resolves the serve settings from the flags and the environment of this process.
auto resolveServeSettings(const std::vector<std::string>& arguments) -> Settings::Resolution;

/// Converts resolved settings to their types. The resolution must have no problems.
auto typedServeSettings(const Settings::Resolution& resolution) -> ServeSettings;

} // namespace App
