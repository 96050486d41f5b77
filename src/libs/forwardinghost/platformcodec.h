#pragma once

#include "core/error.h"
#include "entryfleet/entryvmentry.h"
#include "forwarding/routingconfiguration.h"
#include "forwarding/upstreamlist.h"
#include "ports/collectionstore.h"

namespace ForwardingHost {

/// Names of the store's collections that a forwarding process follows.
struct CollectionNames {
    Ports::CollectionName configuration;
    Ports::CollectionName upstreams;
    Ports::CollectionName evacuations;
    Ports::CollectionName entryVms;
};

/// Converts between items of the platform's store and the entries of this program.
class PlatformCodec {
public:
    virtual ~PlatformCodec() = default;
    [[nodiscard]] virtual auto collections() const -> CollectionNames = 0;
    /// Returns the name of the item that holds the configuration in force.
    [[nodiscard]] virtual auto configurationName() const -> std::string = 0;
    [[nodiscard]] virtual auto decodeConfiguration(const Ports::CollectionItem& item) const
        -> Core::Result<std::shared_ptr<const Forwarding::RoutingConfiguration>> = 0;
    /// Decodes an upstream. Remaining times in the item are relative to `now`, the time of the item's arrival.
    [[nodiscard]] virtual auto decodeUpstream(const Ports::CollectionItem& item, Core::Instant now) const
        -> Core::Result<Forwarding::UpstreamEntry> = 0;
    [[nodiscard]] virtual auto decodeEntryVm(const Ports::CollectionItem& item) const
        -> Core::Result<EntryFleet::EntryVmEntry> = 0;
    [[nodiscard]] virtual auto encodeEntryVm(const EntryFleet::EntryVmEntry& entry) const -> Ports::CollectionItem = 0;
};

} // namespace ForwardingHost
