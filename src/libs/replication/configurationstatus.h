#pragma once

#include "core/ids.h"
#include "core/units.h"
#include "ports/objectstore.h"

#include <optional>
#include <string>
#include <vector>

namespace Replication {

/// Status of the steering document in one failure domain.
struct DomainStatus {
    Core::FailureDomainId failureDomain;
    Core::Version lowest;
    Core::Version highest;
    /// True if the version is in force on all members and the store has confirmed it recently.
    bool isConfirmed = false;
    /// Reason why the version is not confirmed; empty if it is.
    std::string reason;
    /// Time since the store last confirmed the version there; empty if it never has.
    std::optional<Core::Duration> confirmedAge;
    /// Age of the latest report about the failure domain.
    Core::Duration reportAge {};
};

/// Configuration status as known to one entry VM.
struct ConfigurationStatus {
    Core::EntryVmId vm;
    Core::FailureDomainId failureDomain;
    /// 0 if no version is in force.
    Core::Version version;
    Core::Duration inForceFor {};
    Core::Version fleetVersion;
    /// Version in the store that was refused, and the reason; version 0 if there is none.
    Core::Version refusedVersion;
    std::string refusalReason;
    std::vector<DomainStatus> domains;
};

/// Provides the configuration status to front ends. Thread-safe.
class StatusSource {
public:
    virtual ~StatusSource() = default;
    [[nodiscard]] virtual auto configurationStatus() const -> ConfigurationStatus = 0;
    /// Returns text and version of the steering document in force; version 0 if there is none.
    [[nodiscard]] virtual auto documentInForce() const -> Ports::StoredObject = 0;
};

} // namespace Replication
