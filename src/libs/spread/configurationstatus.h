#pragma once

#include "core/ids.h"
#include "core/units.h"
#include "ports/objectstore.h"

#include <optional>
#include <string>
#include <vector>

namespace Spread {

/// What is known of the steering document in one failure domain.
struct DomainStatus {
    Core::FailureDomainId failureDomain;
    Core::Version lowest;
    Core::Version highest;
    /// The version is in force on all members, and the store confirmed it lately.
    bool isConfirmed = false;
    /// Why it is not confirmed; empty when it is.
    std::string reason;
    /// Time since the store last confirmed the version there; empty when it never did.
    std::optional<Core::Duration> confirmedAge;
    /// Time since the failure domain was last heard of.
    Core::Duration heardAge {};
};

/// What is in force, as one entry VM knows it.
struct ConfigurationStatus {
    Core::EntryVmId vm;
    Core::FailureDomainId failureDomain;
    /// 0 when nothing is in force.
    Core::Version version;
    Core::Duration inForceFor {};
    Core::Version fleetVersion;
    /// Version in the store that was not put in force, and why; empty version when there is none.
    Core::Version refusedVersion;
    std::string refusalReason;
    std::vector<DomainStatus> domains;
};

/// Where front ends read the status; safe to call from several threads.
class StatusSource {
public:
    virtual ~StatusSource() = default;
    [[nodiscard]] virtual auto configurationStatus() const -> ConfigurationStatus = 0;
    /// Text and version of the steering document in force; version 0 when there is none.
    [[nodiscard]] virtual auto documentInForce() const -> Ports::StoredObject = 0;
};

} // namespace Spread
