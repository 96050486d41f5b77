#include "quotas/permittree.h"

#include <algorithm>
#include <tuple>

namespace Quotas {

namespace {

    auto sortKey(const TreeMember& member)
    {
        return std::tie(member.region.value(), member.failureDomain.value(), member.id.value());
    }

    auto groupCount(std::size_t members) -> std::size_t
    {
        return (members + PermitTree::groupSize - 1) / PermitTree::groupSize;
    }

    /// Groups differ by at most one in size.
    auto groupBegin(std::size_t group, std::size_t members) -> std::size_t
    {
        return group * members / groupCount(members);
    }

    auto groupOf(std::size_t slot, std::size_t slots) -> std::size_t
    {
        auto group = slot * groupCount(slots) / slots;
        while (groupBegin(group + 1, slots) <= slot)
            ++group;
        return group;
    }

} // namespace

PermitTree::PermitTree(std::vector<TreeMember> members, const Core::EntryVmId& self)
    : m_members(std::move(members))
{
    std::sort(m_members.begin(), m_members.end(),
        [](const TreeMember& one, const TreeMember& other) { return sortKey(one) < sortKey(other); });
    // A head answers all others of its group, so the largest VM of the group becomes it.
    const auto groups = groupCount(m_members.size());
    for (std::size_t group = 0; group < groups; ++group) {
        const auto iteratorAt = [this](std::size_t index) {
            return m_members.begin() + static_cast<std::ptrdiff_t>(groupBegin(index, m_members.size()));
        };
        std::stable_sort(iteratorAt(group), iteratorAt(group + 1),
            [](const TreeMember& one, const TreeMember& other) { return one.processor > other.processor; });
    }
    const auto found = std::find_if(
        m_members.begin(), m_members.end(), [&self](const TreeMember& member) { return member.id == self; });
    m_self = static_cast<Slot>(found - m_members.begin());
    for (auto slots = m_members.size(); slots > 1; slots = groupCount(slots))
        m_levelSizes.push_back(slots);
}

auto PermitTree::memberAt(std::size_t level, Slot slot, const IsDown& isDown) const -> const TreeMember*
{
    if (level == 0)
        return isDown(m_members[slot].id) ? nullptr : &m_members[slot];
    const auto slots = m_levelSizes[level - 1];
    for (auto below = groupBegin(slot, slots); below < groupBegin(slot + 1, slots); ++below) {
        if (const auto* member = memberAt(level - 1, below, isDown))
            return member;
    }
    return nullptr;
}

auto PermitTree::parent(const IsDown& isDown) const -> const TreeMember*
{
    auto own = m_self;
    for (std::size_t level = 0; level < m_levelSizes.size(); ++level) {
        const auto slots = m_levelSizes[level];
        const auto group = groupOf(own, slots);
        for (auto slot = groupBegin(group, slots); slot < own; ++slot) {
            if (const auto* member = memberAt(level, slot, isDown))
                return member;
        }
        // This VM is the head of its group.
        own = group;
    }
    return nullptr;
}

auto PermitTree::find(const Core::EntryVmId& id) const -> const TreeMember*
{
    const auto found
        = std::find_if(m_members.begin(), m_members.end(), [&id](const TreeMember& member) { return member.id == id; });
    return found == m_members.end() ? nullptr : &*found;
}

} // namespace Quotas
