#pragma once

#include "membership/membershipview.h"

namespace Membership {

/// Number of a process among those that ran under one entry VM's name; raised above any that peers still remember.
using Generation = Core::StrongType<struct GenerationTag, std::uint64_t>;
/// Raised by a member with each change of its own record.
using Sequence = Core::StrongType<struct SequenceTag, std::uint64_t>;

/// What gossip says about a member, in ascending order of precedence for one sequence number.
enum class Belief : std::uint8_t { Alive, Suspected, Dead };

/// Orders the records of one member: the greater replaces the smaller.
struct Freshness {
    Generation generation;
    Sequence sequence;
    Belief belief = Belief::Alive;

    friend auto operator<=>(const Freshness&, const Freshness&) -> std::strong_ordering = default;
};

/// State of one member as it travels by gossip. Only the member raises the sequence; anyone may raise the belief.
struct MemberRecord {
    Fleet::EntryVm vm;
    Core::Incarnation incarnation;
    Freshness freshness;
    bool isLeaving = false;
    std::string keyPrefix;
    Core::Version configurationVersion;
    std::vector<Fleet::ServiceLoad> loads;
};

/// What a member holds of another one, without the content.
struct DigestEntry {
    Core::EntryVmId vm;
    Freshness freshness;
};

/// View of a record for readers outside the protocol.
inline auto memberFrom(const MemberRecord& record) -> Member
{
    auto health = MemberHealth::Alive;
    if (record.freshness.belief != Belief::Alive)
        health = MemberHealth::Suspected;
    else if (record.isLeaving)
        health = MemberHealth::Leaving;
    return { record.vm, record.incarnation, health, record.keyPrefix, record.configurationVersion, record.loads };
}

} // namespace Membership
