#pragma once

#include "core/units.h"
#include "quotas/organisationpermits.h"
#include "quotas/permitmessage.h"
#include "quotas/permittree.h"

#include <map>
#include <mutex>
#include <set>

namespace Quotas {

/// What this VM knows of the other VMs: its parent and children in the tree, how many there are, and which
/// organisations lack permits. Thread-safe.
class TreeNeighbours {
public:
    TreeNeighbours(TreeMember self, Core::ProcessStartId start);

    /// Applies the store's list of VMs.
    auto setMembers(std::vector<TreeMember> members, Core::Instant now) -> void;
    [[nodiscard]] auto part(Core::Instant now) const -> FleetPart;

    /// Returns nothing if this VM is the root.
    [[nodiscard]] auto parent() const -> std::optional<TreeMember>;
    /// Notes that the VM did not answer. It is no parent until it answers a probe.
    auto noteSilence(const Core::EntryVmId& vm, Core::Instant now) -> void;
    auto noteAnswer(const Core::EntryVmId& vm, Core::Instant now) -> void;
    /// Returns the VMs to probe now: some that would follow the parent if it failed as well, and one that was down.
    [[nodiscard]] auto takeProbes(Core::Instant now) -> std::vector<TreeMember>;
    /// Returns a message without offers. The sender leaves room to its parent only.
    [[nodiscard]] auto nextMessage(bool isToParent, Core::Instant now) -> PermitMessage;
    /// Notes the sender of a message. Returns false if the message has arrived before.
    [[nodiscard]] auto noteChild(const PermitMessage& message, Core::Instant now) -> bool;
    auto noteVmCount(std::size_t count, Core::Instant now) -> void;
    [[nodiscard]] auto vmCount() const -> std::size_t;

    auto markScarce(const Core::OrganisationId& organisation, Core::Instant now) -> void;
    [[nodiscard]] auto isScarce(const Core::OrganisationId& organisation, Core::Instant now) const -> bool;
    /// Returns the organisations that lack permits, or none if the child has been told lately.
    [[nodiscard]] auto takeScarce(const Core::EntryVmId& child, Core::Instant now) -> std::vector<Core::OrganisationId>;

private:
    struct Child {
        Core::ProcessStartId start;
        /// Highest sequence number of a message.
        std::uint64_t sequence = 0;
        /// Bit n is set if the message with the number sequence - n has arrived.
        std::uint64_t arrived = 0;
        double delegatedRoom = 0;
        Core::Instant heardAt;
        /// The child is told again from this instant on which organisations lack permits.
        Core::Instant nextScarce;
    };

    /// A VM that did not answer.
    struct Silence {
        bool isDown = false;
        int failures = 0;
        Core::Instant failedAt;
        Core::Instant nextProbe;
    };

    [[nodiscard]] auto totalRoom(Core::Instant now) const -> double;
    /// Returns the number of VMs that may be minting.
    [[nodiscard]] auto divisor(Core::Instant now) const -> double;
    auto updateParent() -> void;
    /// Returns false if the message has arrived before, or so late that this is not known.
    [[nodiscard]] static auto noteArrival(Child& child, const PermitMessage& message, Core::Instant now) -> bool;
    [[nodiscard]] auto isDown(const Core::EntryVmId& vm) const -> bool;

    const TreeMember m_self;
    const Core::ProcessStartId m_start;
    mutable std::mutex m_mutex;
    PermitTree m_tree;
    std::optional<TreeMember> m_parent;
    /// Listed VMs and those that were listed lately, with the time at which they last were.
    std::map<Core::EntryVmId, Core::Instant> m_known;
    std::set<Core::EntryVmId> m_listed;
    bool m_hasList = false;
    /// Minting starts at this instant.
    Core::Instant m_mintsFrom = Core::Instant::max();
    std::size_t m_toldCount = 0;
    Core::Instant m_toldAt;
    std::map<Core::EntryVmId, Silence> m_silences;
    /// The VMs that would follow the parent need to be probed.
    bool m_isParentLost = false;
    Core::Instant m_nextProbes;
    std::map<Core::EntryVmId, Child> m_children;
    std::map<Core::OrganisationId, Core::Instant> m_scarceUntil;
    std::uint64_t m_sequence = 0;
};

} // namespace Quotas
