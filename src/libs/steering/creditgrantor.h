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

/// Grants credits from the headroom of this entry VM's upstreams that remains after its own work, its queue and drains.
/// Offers newly available headroom gradually, over the configured slow start time.
class CreditGrantor : public CreditHandler, public CreditRedeemer {
public:
    struct Dependencies {
        const Ports::Clock& clock;
        Ports::RandomSource& random;
        const Configuration::ConfigurationSource& configuration;
        const Fleet::LoadSource& ownLoads;
    };

    CreditGrantor(Dependencies dependencies, Core::FailureDomainId failureDomain);

    auto grant(const CreditRequest& request) -> CreditGrant override;
    auto redeem(const CreditId& credit, const Core::FailureDomainId& source, const Core::ServiceId& service)
        -> Redemption override;
    auto markDispatched(const Core::ServiceId& service) -> void override;

    /// Stops granting credits and voids outstanding ones. Used for a graceful shutdown.
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
        /// Redeemed credits whose requests the dispatcher does not include in its load yet.
        std::uint32_t undispatched = 0;
        bool wasUnusable = false;
        /// Time at which slots became usable again; the default, far in the past, if they were never unusable.
        Core::Instant usableSince;
    };

    [[nodiscard]] auto isGrantingDisabled() const -> bool;
    auto grantableCredits(ServiceState& state, const Fleet::ServiceLoad& load, Core::Instant now) const
        -> std::uint32_t;
    /// Removes grants for which duplicates are no longer expected.
    static auto removeExpiredGrants(ServiceState& state, Core::Instant now) -> void;
    static auto outstandingCredits(const ServiceState& state, Core::Instant now) -> std::uint32_t;

    Dependencies m_dependencies;
    const Core::FailureDomainId m_failureDomain;
    const Core::Instant m_startedAt;
    std::atomic<bool> m_isStopped { false };
    std::mutex m_mutex;
    std::map<Core::ServiceId, ServiceState> m_services;
};

} // namespace Steering
