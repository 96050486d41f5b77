#include "membership/membertable.h"

#include "core/invariant.h"

#include <algorithm>

namespace Membership {

namespace {

    // Sufficient to reach each of 200 members by random pushes with high probability.
    constexpr std::uint32_t urgentSendLimit = 12;

    auto isUrgentChange(const MemberRecord& before, const MemberRecord& after) -> bool
    {
        return before.freshness.liveness != after.freshness.liveness || before.isLeaving != after.isLeaving
            || before.incarnation != after.incarnation || before.keyPrefix != after.keyPrefix;
    }

} // namespace

auto MemberTable::merge(const MemberRecord& record, Core::Instant now) -> MergeEffect
{
    return m_shards.with(record.vm.id, [&](Shard& shard) {
        const auto [position, isNew] = shard.entries.try_emplace(record.vm.id);
        auto& entry = position->second;
        if (!isNew && record.freshness <= entry.record.freshness)
            return MergeEffect::None;
        const bool isUrgent = isNew || isUrgentChange(entry.record, record);
        Core::invariant(isNew || entry.record.freshness < record.freshness, "membership.freshness-never-decreases");
        entry.record = record;
        entry.refreshedAt = now;
        if (!isUrgent)
            return MergeEffect::Refreshed;
        entry.changedAt = now;
        entry.remainingUrgentSends = urgentSendLimit;
        return MergeEffect::Changed;
    });
}

auto MemberTable::downgradeLiveness(
    const Core::EntryVmId& vm, const Freshness& expected, Liveness liveness, Core::Instant now) -> bool
{
    return m_shards.with(vm, [&](Shard& shard) {
        const auto found = shard.entries.find(vm);
        if (found == shard.entries.end() || found->second.record.freshness != expected || expected.liveness >= liveness)
            return false;
        found->second.record.freshness.liveness = liveness;
        found->second.changedAt = now;
        found->second.remainingUrgentSends = urgentSendLimit;
        return true;
    });
}

auto MemberTable::overrideForeignRecord(const DigestEntry& foreignEntry) -> void
{
    m_shards.with(foreignEntry.vm, [&](Shard& shard) {
        const auto found = shard.entries.find(foreignEntry.vm);
        if (found == shard.entries.end())
            return;
        auto& known = found->second.record.freshness;
        if (known.liveness != Liveness::Alive && known.generation == foreignEntry.freshness.generation
            && known.sequence < foreignEntry.freshness.sequence)
            known.sequence = foreignEntry.freshness.sequence;
    });
}

auto MemberTable::find(const Core::EntryVmId& vm) const -> std::optional<MemberRecord>
{
    return m_shards.with(vm, [&](Shard& shard) -> std::optional<MemberRecord> {
        const auto found = shard.entries.find(vm);
        if (found == shard.entries.end())
            return std::nullopt;
        return found->second.record;
    });
}

auto MemberTable::records() const -> std::vector<MemberRecord>
{
    std::vector<MemberRecord> records;
    m_shards.forEach([&](Shard& shard) {
        for (const auto& [id, entry] : shard.entries)
            records.push_back(entry.record);
    });
    std::sort(records.begin(), records.end(),
        [](const MemberRecord& left, const MemberRecord& right) { return left.vm.id < right.vm.id; });
    return records;
}

auto MemberTable::digest() const -> std::vector<DigestEntry>
{
    std::vector<DigestEntry> digest;
    m_shards.forEach([&](Shard& shard) {
        for (const auto& [id, entry] : shard.entries)
            digest.push_back({ id, entry.record.freshness });
    });
    return digest;
}

auto MemberTable::takeUrgentRecords(std::size_t limit) -> std::vector<MemberRecord>
{
    std::vector<MemberRecord> urgent;
    m_shards.forEach([&](Shard& shard) {
        for (auto& [id, entry] : shard.entries) {
            if (entry.remainingUrgentSends == 0 || urgent.size() >= limit)
                continue;
            --entry.remainingUrgentSends;
            urgent.push_back(entry.record);
        }
    });
    return urgent;
}

auto MemberTable::recordsDowngradedBefore(Liveness liveness, Core::Instant before) const -> std::vector<MemberRecord>
{
    std::vector<MemberRecord> matching;
    m_shards.forEach([&](Shard& shard) {
        for (const auto& [id, entry] : shard.entries) {
            if (entry.record.freshness.liveness == liveness && entry.changedAt < before)
                matching.push_back(entry.record);
        }
    });
    return matching;
}

auto MemberTable::dropExpired(const Core::EntryVmId& self, Core::Instant before) -> void
{
    m_shards.forEach([&](Shard& shard) {
        std::erase_if(shard.entries, [&](const auto& item) {
            const auto& entry = item.second;
            return item.first != self && entry.refreshedAt < before && entry.changedAt < before;
        });
    });
}

} // namespace Membership
