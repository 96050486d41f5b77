#pragma once

#include "dispatch/suspicionannouncer.h"
#include "fleet/fleetholder.h"
#include "membership/membershipview.h"
#include "ports/clock.h"
#include "ports/randomsource.h"
#include "suspicion/suspicionport.h"

namespace Suspicion {

/// Spreads crash suspicions over the fleet as a rumour: each entry VM that learns something new tells some others.
/// A small fleet is told directly, so that a caller who sends the request again meets the quarantine everywhere.
class SuspicionSpread : public Dispatch::SuspicionAnnouncer {
public:
    struct Collaborators {
        const Ports::Clock& clock;
        Ports::RandomSource& random;
        const Membership::MembershipView& members;
        /// Names every entry VM, where membership knows only some of other failure domains.
        const Fleet::FleetSource& fleet;
        SuspicionPort& port;
        Dispatch::CrashSuspicionExchange& quarantine;
    };

    SuspicionSpread(Collaborators collaborators, Core::EntryVmId self);

    auto announce(const Dispatch::CrashSuspicion& suspicion, std::function<void()> done) -> void override;
    /// Takes what another entry VM tells, and passes it on when it is new here.
    auto accept(const Dispatch::CrashSuspicion& suspicion) -> void;

private:
    auto chooseTargets() -> std::vector<Fleet::EntryVm>;

    Collaborators m_collaborators;
    Core::EntryVmId m_self;
};

} // namespace Suspicion
