#pragma once

#include "configuration/steeringconfiguration.h"
#include "fleet/serviceload.h"
#include "ports/clock.h"
#include "ports/randomsource.h"
#include "steering/creditports.h"

#include <atomic>
#include <map>
#include <mutex>
#include <vector>

namespace Steering {

/// Grants credits out of the headroom that this entry VM's upstreams have after its own work, its queue and drains.
/// Headroom that appears is offered by degrees over the configured slow start.
class CreditGrantor : public CreditHandler, public CreditRedeemer {
public:
    struct Collaborators {
        const Ports::Clock& clock;
        Ports::RandomSource& random;
        const Configuration::ConfigurationSource& configuration;
        const Fleet::LoadSource& ownLoads;
    };

    CreditGrantor(Collaborators collaborators, Core::FailureDomainId failureDomain);

    auto grant(const CreditRequest& request) -> CreditGrant override;
    auto redeem(const CreditId& credit, const Core::FailureDomainId& source, const Core::ServiceId& service)
        -> Redemption override;
    auto settle(const Core::ServiceId& service) -> void override;

    /// From now on nothing is granted and open credits are void; for the planned stop.
    auto stopGranting() -> void;

private:
    struct Grant {
        Core::FailureDomainId source;
        Core::Instant expires;
        std::vector<bool> isUsed;
        std::uint32_t unused = 0;
    };
    struct ServiceState {
        std::map<GrantId, Grant> grants;
        /// Redeemed credits whose requests the dispatcher does not count yet.
        std::uint32_t unsettled = 0;
        bool wasUnusable = false;
        /// When the slots became usable again; long ago when they always were.
        Core::Instant usableSince;
    };

    [[nodiscard]] auto isDrained() const -> bool;
    auto offer(ServiceState& state, const Fleet::ServiceLoad& load, Core::Instant now) const -> std::uint32_t;
    /// Drops grants that no duplicate is expected for any more.
    static auto forget(ServiceState& state, Core::Instant now) -> void;
    static auto outstanding(const ServiceState& state, Core::Instant now) -> std::uint32_t;

    Collaborators m_collaborators;
    const Core::FailureDomainId m_failureDomain;
    const Core::Instant m_startedAt;
    std::atomic<bool> m_isStopped { false };
    std::mutex m_mutex;
    std::map<Core::ServiceId, ServiceState> m_services;
};

} // namespace Steering
