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
    /// Has not answered lately; may be dead, paused or cut off.
    Suspected,
    /// Announced its planned stop, or is leaving in the platform's list.
    Leaving,
};

/// What this entry VM knows of another one, or of itself.
struct Member {
    Fleet::EntryVm vm;
    Core::Incarnation incarnation;
    MemberHealth health = MemberHealth::Alive;
    /// Prefix of idempotency keys whose home is this member, for look-up answers; empty when it takes none.
    std::string keyPrefix;
    /// Version of the steering document in force there.
    Core::Version configurationVersion;
    std::vector<Fleet::ServiceLoad> loads;
};

/// What this entry VM believes about the fleet. Only efficiency may rest on it, never safety.
class MembershipView {
public:
    virtual ~MembershipView() = default;
    /// Members of the own failure domain, this entry VM included, and the known ones of others.
    [[nodiscard]] virtual auto members() const -> std::vector<Member> = 0;
    [[nodiscard]] virtual auto find(const Core::EntryVmId& vm) const -> std::optional<Member> = 0;
};

} // namespace Membership
