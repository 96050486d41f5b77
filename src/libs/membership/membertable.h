#pragma once

#include "core/sharded.h"
#include "membership/memberrecord.h"

#include <map>

namespace Membership {

/// Result of merging a record.
enum class MergeEffect : std::uint8_t {
    /// The record was not newer than the stored one.
    None,
    /// Load or version changed; sent with the next exchanges.
    Refreshed,
    /// Membership, health or key prefix changed; sent urgently.
    Changed,
};

/// Stores the newest known record of each member, sharded by the member's id.
class MemberTable {
public:
    auto merge(const MemberRecord& record, Core::Instant now) -> MergeEffect;
    /// Downgrades the liveness of a member if its stored record has the expected freshness. Returns true if it changed.
    auto downgradeLiveness(const Core::EntryVmId& vm, const Freshness& expected, Liveness liveness, Core::Instant now)
        -> bool;
    /// Preserves a liveness other than Alive when another failure domain has a newer record of the same process: raises
    /// the sequence of the stored record to that of the foreign one.
    auto overrideForeignRecord(const DigestEntry& foreignEntry) -> void;
    [[nodiscard]] auto find(const Core::EntryVmId& vm) const -> std::optional<MemberRecord>;
    /// Returns all records, sorted by id.
    [[nodiscard]] auto records() const -> std::vector<MemberRecord>;
    [[nodiscard]] auto digest() const -> std::vector<DigestEntry>;
    /// Returns up to the given number of records with remaining urgent sends, and decrements their counts.
    auto takeUrgentRecords(std::size_t limit) -> std::vector<MemberRecord>;
    /// Returns the records with the given liveness that last changed before the given time.
    [[nodiscard]] auto recordsDowngradedBefore(Liveness liveness, Core::Instant before) const
        -> std::vector<MemberRecord>;
    /// Drops the records, except that of self, that were neither refreshed nor changed since the given time.
    auto dropExpired(const Core::EntryVmId& self, Core::Instant before) -> void;

private:
    struct Entry {
        MemberRecord record;
        Core::Instant changedAt;
        Core::Instant refreshedAt;
        std::uint32_t remainingUrgentSends = 0;
    };
    struct Shard {
        std::map<Core::EntryVmId, Entry> entries;
    };

    mutable Core::Sharded<Shard> m_shards;
};

} // namespace Membership
