#pragma once

#include "core/error.h"
#include "entryfleet/entryvmentry.h"
#include "forwarding/routingconfiguration.h"
#include "forwarding/upstreamlist.h"
#include "ports/collectionstore.h"

namespace ForwardingHost {

/// Collections of the store that a forwarding process follows.
struct CollectionNames {
    Ports::CollectionName configuration;
    Ports::CollectionName upstreams;
    Ports::CollectionName evacuations;
    Ports::CollectionName entryVms;
};

/// Translates objects of the platform's store.
class PlatformCodec {
public:
    virtual ~PlatformCodec() = default;
    [[nodiscard]] virtual auto collections() const -> CollectionNames = 0;
    /// Name of the object that holds the configuration in force.
    [[nodiscard]] virtual auto configurationName() const -> std::string = 0;
    [[nodiscard]] virtual auto decodeConfiguration(const Ports::CollectionItem& item) const
        -> Core::Result<std::shared_ptr<const Forwarding::RoutingConfiguration>> = 0;
    /// The instant is that of the item's arrival, from which its remaining times count.
    [[nodiscard]] virtual auto decodeUpstream(const Ports::CollectionItem& item, Core::Instant now) const
        -> Core::Result<Forwarding::UpstreamEntry> = 0;
    [[nodiscard]] virtual auto decodeEntryVm(const Ports::CollectionItem& item) const
        -> Core::Result<EntryFleet::EntryVmEntry> = 0;
    [[nodiscard]] virtual auto encodeEntryVm(const EntryFleet::EntryVmEntry& entry) const -> Ports::CollectionItem = 0;
};

} // namespace ForwardingHost
