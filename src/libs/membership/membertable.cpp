#include "membership/membertable.h"

#include "core/invariant.h"

#include <algorithm>

namespace Membership {

namespace {

    // Enough to reach each of 200 members by random pushes with high probability.
    constexpr std::uint32_t urgentSendLimit = 12;

    auto isUrgentChange(const MemberRecord& before, const MemberRecord& after) -> bool
    {
        return before.freshness.belief != after.freshness.belief || before.isLeaving != after.isLeaving
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
        entry.urgentSends = urgentSendLimit;
        return MergeEffect::Changed;
    });
}

auto MemberTable::raiseBelief(const Core::EntryVmId& vm, const Freshness& seen, Belief belief, Core::Instant now)
    -> bool
{
    return m_shards.with(vm, [&](Shard& shard) {
        const auto found = shard.entries.find(vm);
        if (found == shard.entries.end() || found->second.record.freshness != seen || seen.belief >= belief)
            return false;
        found->second.record.freshness.belief = belief;
        found->second.changedAt = now;
        found->second.urgentSends = urgentSendLimit;
        return true;
    });
}

auto MemberTable::upholdBelief(const DigestEntry& foreign) -> void
{
    m_shards.with(foreign.vm, [&](Shard& shard) {
        const auto found = shard.entries.find(foreign.vm);
        if (found == shard.entries.end())
            return;
        auto& held = found->second.record.freshness;
        if (held.belief != Belief::Alive && held.generation == foreign.freshness.generation
            && held.sequence < foreign.freshness.sequence)
            held.sequence = foreign.freshness.sequence;
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

auto MemberTable::takeUrgent(std::size_t limit) -> std::vector<MemberRecord>
{
    std::vector<MemberRecord> urgent;
    m_shards.forEach([&](Shard& shard) {
        for (auto& [id, entry] : shard.entries) {
            if (entry.urgentSends == 0 || urgent.size() >= limit)
                continue;
            --entry.urgentSends;
            urgent.push_back(entry.record);
        }
    });
    return urgent;
}

auto MemberTable::believedSince(Belief belief, Core::Instant before) const -> std::vector<MemberRecord>
{
    std::vector<MemberRecord> matching;
    m_shards.forEach([&](Shard& shard) {
        for (const auto& [id, entry] : shard.entries) {
            if (entry.record.freshness.belief == belief && entry.changedAt < before)
                matching.push_back(entry.record);
        }
    });
    return matching;
}

auto MemberTable::forget(const Core::EntryVmId& self, Core::Instant before) -> void
{
    m_shards.forEach([&](Shard& shard) {
        std::erase_if(shard.entries, [&](const auto& item) {
            const auto& entry = item.second;
            return item.first != self && entry.refreshedAt < before && entry.changedAt < before;
        });
    });
}

} // namespace Membership
