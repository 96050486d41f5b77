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

/// Holds the credits of this entry VM. Requests credits in batches, only while requests wait for one, and only from the
/// nearest and least loaded destinations. Uses each credit once, within the movement cap and the link budget.
class CreditPool : public CreditSource {
public:
    struct Dependencies {
        const Ports::Clock& clock;
        const Configuration::ConfigurationSource& configuration;
        RelayCandidates& candidates;
        LinkShares& links;
        CreditPort& port;
    };

    CreditPool(Dependencies dependencies, Core::FailureDomainId failureDomain, Core::RegionId region);

    auto countArrival() -> void override;
    auto acquire(const Configuration::ServicePolicy& policy, Core::Bytes size, CreditCallback callback)
        -> void override;
    auto countReply(const Core::RegionId& from, Core::Rank rank, Core::Bytes size) -> void override;

private:
    struct HeldGrant {
        Fleet::EntryVm destination;
        CreditGrant grant;
        std::uint32_t nextIndex = 0;
        Core::Instant expires;
    };
    struct WaitingRequest {
        Core::Rank rank;
        Core::Bytes size;
        CreditCallback callback;
    };
    struct ServiceState {
        std::vector<HeldGrant> heldGrants;
        std::deque<WaitingRequest> waitingRequests;
        std::set<Core::EntryVmId> pendingDestinations;
        std::map<Core::EntryVmId, Core::Instant> retryAt;
    };
    struct Shard {
        std::map<Core::ServiceId, ServiceState> services;
    };
    struct OutgoingRequest {
        Fleet::EntryVm destination;
        CreditRequest request;
    };
    struct Completion {
        CreditCallback callback;
        std::optional<HeldCredit> credit;
    };

    auto takeHeldCredit(ServiceState& state, Core::Rank rank, Core::Bytes size, Core::Instant now)
        -> std::optional<HeldCredit>;
    auto tryReserve(const Fleet::EntryVm& destination, Core::Rank rank, Core::Bytes size, Core::Instant now) -> bool;
    auto prepareRequests(ServiceState& state, const Core::ServiceId& service, Core::Instant now)
        -> std::vector<OutgoingRequest>;
    auto rankedDestinations(const Core::ServiceId& service) -> std::vector<Candidate>;
    auto send(OutgoingRequest outgoing) -> void;
    auto handleGrant(const OutgoingRequest& outgoing, Core::Instant requestedAt, const Core::Result<CreditGrant>& grant)
        -> void;
    auto completeWaiting(ServiceState& state, Core::Instant now) -> std::vector<Completion>;
    [[nodiscard]] auto limits() const -> MovementLimiter::Limits;

    Dependencies m_dependencies;
    const Core::FailureDomainId m_failureDomain;
    const Core::RegionId m_region;
    MovementLimiter m_movement;
    Core::Sharded<Shard> m_shards;
};

} // namespace Steering
