#pragma once

#include "configuration/steeringconfiguration.h"
#include "core/sharded.h"
#include "ports/clock.h"
#include "steering/creditports.h"
#include "steering/linkshares.h"
#include "steering/movementlimiter.h"
#include "steering/relaycandidates.h"

#include <deque>
#include <map>
#include <set>

namespace Steering {

/// Credits that this entry VM holds. It asks for them only when requests wait for one, in batches, and only the nearest
/// and least loaded destinations. Each credit is used once, within the movement cap and the budget of the link.
class CreditBook : public CreditSource {
public:
    struct Collaborators {
        const Ports::Clock& clock;
        const Configuration::ConfigurationSource& configuration;
        RelayCandidates& candidates;
        LinkShares& links;
        CreditPort& port;
    };

    CreditBook(Collaborators collaborators, Core::FailureDomainId failureDomain, Core::RegionId region);

    auto countArrival() -> void override;
    auto acquire(const Configuration::ServicePolicy& policy, Core::Bytes size, CreditCallback callback)
        -> void override;
    auto countReply(const Core::RegionId& from, Core::Rank rank, Core::Bytes size) -> void override;

private:
    struct Held {
        Fleet::EntryVm destination;
        CreditGrant grant;
        std::uint32_t next = 0;
        Core::Instant expires;
    };
    struct Waiting {
        Core::Rank rank;
        Core::Bytes size;
        CreditCallback callback;
    };
    struct ServiceState {
        std::vector<Held> held;
        std::deque<Waiting> waiting;
        std::set<Core::EntryVmId> asked;
        std::map<Core::EntryVmId, Core::Instant> askAgainAt;
    };
    struct State {
        std::map<Core::ServiceId, ServiceState> services;
    };
    struct Ask {
        Fleet::EntryVm destination;
        CreditRequest request;
    };
    struct Settled {
        CreditCallback callback;
        std::optional<HeldCredit> credit;
    };

    auto take(ServiceState& state, Core::Rank rank, Core::Bytes size, Core::Instant now) -> std::optional<HeldCredit>;
    auto hasRoomFor(const Fleet::EntryVm& destination, Core::Rank rank, Core::Bytes size, Core::Instant now) -> bool;
    auto chooseAsks(ServiceState& state, const Core::ServiceId& service, Core::Instant now) -> std::vector<Ask>;
    auto destinations(const Core::ServiceId& service) -> std::vector<Candidate>;
    auto send(Ask ask) -> void;
    auto takeGrant(const Ask& ask, Core::Instant askedAt, const Core::Result<CreditGrant>& grant) -> void;
    auto settleWaiting(ServiceState& state, Core::Instant now) -> std::vector<Settled>;
    [[nodiscard]] auto limits() const -> MovementLimiter::Limits;

    Collaborators m_collaborators;
    const Core::FailureDomainId m_failureDomain;
    const Core::RegionId m_region;
    MovementLimiter m_movement;
    Core::Sharded<State> m_state;
};

} // namespace Steering
