#pragma once

#include "membership/membershipview.h"

namespace Membership {

/// Distinguishes the processes that have run under the id of one entry VM. A new process uses a higher generation than
/// any that its peers have recorded for an earlier process.
using Generation = Core::StrongType<struct GenerationTag, std::uint64_t>;
/// Incremented by a member with each change of its own record.
using Sequence = Core::StrongType<struct SequenceTag, std::uint64_t>;

/// State of a member according to gossip, in ascending order of precedence for equal sequence numbers.
enum class Liveness : std::uint8_t { Alive, Suspected, Dead };

/// Orders the records of one member: a record replaces those with lower freshness.
struct Freshness {
    Generation generation;
    Sequence sequence;
    Liveness liveness = Liveness::Alive;

    friend auto operator<=>(const Freshness&, const Freshness&) -> std::strong_ordering = default;
};

/// State of one member as sent by gossip. Only the member itself increments the sequence; any member may downgrade the
/// liveness.
struct MemberRecord {
    Fleet::EntryVm vm;
    Core::Incarnation incarnation;
    Freshness freshness;
    bool isLeaving = false;
    std::string keyPrefix;
    Core::Version configurationVersion;
    std::vector<Fleet::ServiceLoad> loads;
};

/// Freshness of a record, without its content.
struct DigestEntry {
    Core::EntryVmId vm;
    Freshness freshness;
};

/// Converts a record to its representation outside of the protocol.
inline auto memberFrom(const MemberRecord& record) -> Member
{
    auto health = MemberHealth::Alive;
    if (record.freshness.liveness != Liveness::Alive)
        health = MemberHealth::Suspected;
    else if (record.isLeaving)
        health = MemberHealth::Leaving;
    return { record.vm, record.incarnation, health, record.keyPrefix, record.configurationVersion, record.loads };
}

} // namespace Membership
