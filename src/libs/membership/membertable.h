#pragma once

#include "core/sharded.h"
#include "membership/memberrecord.h"

#include <map>

namespace Membership {

/// What a merged record changed.
enum class MergeEffect : std::uint8_t {
    /// The record was not newer than the known one.
    None,
    /// Load or version changed; travels by exchange.
    Refreshed,
    /// Membership, health or key prefix changed; travels at once.
    Changed,
};

/// Newest known record of each member, sharded by the member's name.
class MemberTable {
public:
    auto merge(const MemberRecord& record, Core::Instant now) -> MergeEffect;
    /// Raises the belief about a member unless a newer record than the given one is known. Returns whether it changed.
    auto raiseBelief(const Core::EntryVmId& vm, const Freshness& seen, Belief belief, Core::Instant now) -> bool;
    /// Holds a belief other than Alive against a record of the same process that another failure domain still has.
    auto upholdBelief(const DigestEntry& foreign) -> void;
    [[nodiscard]] auto find(const Core::EntryVmId& vm) const -> std::optional<MemberRecord>;
    /// Sorted by name.
    [[nodiscard]] auto records() const -> std::vector<MemberRecord>;
    [[nodiscard]] auto digest() const -> std::vector<DigestEntry>;
    /// Up to the given number of records that still have to be sent urgently; counts them as sent once more.
    auto takeUrgent(std::size_t limit) -> std::vector<MemberRecord>;
    /// Members whose belief was raised before the given time, and is still the given one.
    [[nodiscard]] auto believedSince(Belief belief, Core::Instant before) const -> std::vector<MemberRecord>;
    /// Forgets members that are dead, or were not heard of, since before the given time.
    auto forget(const Core::EntryVmId& self, Core::Instant before) -> void;

private:
    struct Entry {
        MemberRecord record;
        Core::Instant changedAt;
        Core::Instant refreshedAt;
        std::uint32_t urgentSends = 0;
    };
    struct Shard {
        std::map<Core::EntryVmId, Entry> entries;
    };

    mutable Core::Sharded<Shard> m_shards;
};

} // namespace Membership
