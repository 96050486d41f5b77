#pragma once

#include "core/ids.h"
#include "core/units.h"

#include <functional>
#include <vector>

namespace Quotas {

struct TreeMember {
    Core::EntryVmId id;
    Core::FailureDomainId failureDomain;
    Core::RegionId region;
    Core::Address peers;
    /// Processor time that the VM may use, in hundredths of a core; 0 if it is not known.
    Core::Percent processor;
};

/// Tree over the VMs along which permits move. Every VM computes it from the list of VMs. VMs of a region and a failure
/// domain are near each other in it, so that few messages leave them. The largest VM of each group is its head, the
/// parent of the others; the heads form the groups of the next level. The next member of a group takes the place of a
/// head that does not answer.
class PermitTree {
public:
    /// Largest number of VMs in a group.
    static constexpr std::size_t groupSize = 16;

    using IsDown = std::function<bool(const Core::EntryVmId&)>;

    PermitTree() = default;
    /// `members` contains this VM.
    PermitTree(std::vector<TreeMember> members, const Core::EntryVmId& self);

    /// Returns the parent of this VM if those that are down are left out, or null if it is the root.
    [[nodiscard]] auto parent(const IsDown& isDown) const -> const TreeMember*;
    /// Returns the VM of the given id, or null.
    [[nodiscard]] auto find(const Core::EntryVmId& id) const -> const TreeMember*;

private:
    /// Number of a group's head in the next level, or of a VM in the lowest one.
    using Slot = std::size_t;

    /// Returns the VM that stands at the slot, or null if all VMs below it are down.
    [[nodiscard]] auto memberAt(std::size_t level, Slot slot, const IsDown& isDown) const -> const TreeMember*;

    /// Sorted by region, failure domain and id.
    std::vector<TreeMember> m_members;
    /// Number of slots of each level.
    std::vector<std::size_t> m_levelSizes;
    Slot m_self = 0;
};

} // namespace Quotas
