#pragma once

#include "core/incarnation.h"
#include "fleet/fleetlist.h"
#include "fleet/serviceload.h"

#include <optional>
#include <string>
#include <vector>

namespace Membership {

enum class MemberHealth : std::uint8_t {
    Alive,
    /// Has not responded recently; may be dead, paused or partitioned.
    Suspected,
    /// Announced a planned stop, or is marked as leaving in the platform's fleet list.
    Leaving,
};

/// State of an entry VM as known to this entry VM.
struct Member {
    Fleet::EntryVm vm;
    Core::Incarnation incarnation;
    MemberHealth health = MemberHealth::Alive;
    /// Prefix of idempotency keys whose home is this member, for look-up answers; empty if it accepts no keys.
    std::string keyPrefix;
    /// Version of the steering document in force on this member.
    Core::Version configurationVersion;
    std::vector<Fleet::ServiceLoad> loads;
};

/// Local view of the fleet, which may be outdated or wrong: efficiency may depend on it, but never safety.
class MembershipView {
public:
    virtual ~MembershipView() = default;
    /// Returns the members of this failure domain, including this entry VM, and the known members of others.
    [[nodiscard]] virtual auto members() const -> std::vector<Member> = 0;
    [[nodiscard]] virtual auto find(const Core::EntryVmId& vm) const -> std::optional<Member> = 0;
};

} // namespace Membership
