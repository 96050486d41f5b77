#pragma once

#include "forwardinghost/platformcodec.h"

#include <variant>

namespace Fakes {

/// Codec that keeps the objects in memory; the text of an item is the index of its object.
class InMemoryCodec : public ForwardingHost::PlatformCodec {
public:
    using ConfigurationPointer = std::shared_ptr<const Forwarding::RoutingConfiguration>;

    /// Upstream entry with the remaining time for which the upstream reports itself as cold.
    struct ColdEntry {
        Forwarding::UpstreamEntry entry;
        Core::Duration coldRemaining {};
    };

    auto encode(const ConfigurationPointer& configuration) -> std::string;
    auto encode(const ColdEntry& entry) -> std::string;

    [[nodiscard]] auto collections() const -> ForwardingHost::CollectionNames override;
    [[nodiscard]] auto configurationName() const -> std::string override { return "main"; }
    [[nodiscard]] auto decodeConfiguration(const Ports::CollectionItem& item) const
        -> Core::Result<ConfigurationPointer> override;
    [[nodiscard]] auto decodeUpstream(const Ports::CollectionItem& item, Core::Instant now) const
        -> Core::Result<Forwarding::UpstreamEntry> override;
    [[nodiscard]] auto decodeEntryVm(const Ports::CollectionItem& item) const
        -> Core::Result<EntryFleet::EntryVmEntry> override;
    [[nodiscard]] auto encodeEntryVm(const EntryFleet::EntryVmEntry& entry) const -> Ports::CollectionItem override;

private:
    using Value = std::variant<ConfigurationPointer, ColdEntry, EntryFleet::EntryVmEntry>;

    auto storeValue(Value value) const -> std::string;
    template <typename Type> [[nodiscard]] auto find(const Ports::CollectionItem& item) const -> const Type*;

    mutable std::vector<Value> m_values;
};

} // namespace Fakes
