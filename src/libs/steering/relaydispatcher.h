#pragma once

#include "configuration/steeringconfiguration.h"
#include "core/sharded.h"
#include "dispatch/dispatcher.h"
#include "fleet/serviceload.h"
#include "ports/clock.h"
#include "ports/eventsink.h"
#include "ports/randomsource.h"
#include "steering/creditports.h"
#include "steering/domaindrain.h"
#include "steering/relaycandidates.h"
#include "steering/relayport.h"
#include "steering/retrybudget.h"

#include <set>

namespace Steering {

/// Runs requests on this entry VM's upstreams while they have spare slots. Otherwise relays them to a neighbour
/// (another entry VM of the same failure domain) or, with a credit, to another failure domain. If neither is possible,
/// the request stays in this entry VM's failure domain.
class RelayDispatcher : public Dispatch::Dispatcher {
public:
    struct Dependencies {
        const Ports::Clock& clock;
        Ports::RandomSource& random;
        const Configuration::ConfigurationSource& configuration;
        RelayCandidates& candidates;
        const Fleet::LoadSource& ownLoads;
        Dispatch::Dispatcher& local;
        RelayPort& relays;
        CreditSource& credits;
        Ports::EventSink& events;
    };

    RelayDispatcher(Dependencies dependencies, Core::FailureDomainId failureDomain);

    auto dispatch(Core::ServiceRequest request, const Configuration::ServicePolicy& policy,
        Core::ReplyCallback callback) -> void override;

private:
    /// Request with the state of its relay attempts.
    struct RoutedRequest {
        Core::ServiceRequest request;
        Configuration::ServicePolicy policy;
        Core::ReplyCallback callback;
        std::set<Core::EntryVmId> triedVms;
        std::uint32_t attempts = 0;
    };
    using RoutedRequestPointer = std::shared_ptr<RoutedRequest>;
    struct InFlight {
        std::map<Core::EntryVmId, std::uint32_t> relays;
    };

    auto route(const RoutedRequestPointer& routed) -> void;
    auto runLocally(const RoutedRequestPointer& routed) -> void;
    [[nodiscard]] auto refusesNewWork() -> bool;
    [[nodiscard]] auto isServedElsewhere(const Core::ServiceId& service) const -> bool;
    auto relayAcrossDomains(const RoutedRequestPointer& routed) -> void;
    auto handleInOwnDomain(const RoutedRequestPointer& routed) -> void;
    auto relay(const RoutedRequestPointer& routed, const Fleet::EntryVm& target, std::optional<CreditId> credit)
        -> void;
    auto handleResult(const RoutedRequestPointer& routed, const Fleet::EntryVm& target, RelayResult result) -> void;
    auto handleReply(const RoutedRequestPointer& routed, Core::Reply reply) -> void;
    auto handleLostReply(const RoutedRequestPointer& routed, const Core::Error& error) -> void;

    [[nodiscard]] auto ownLoad(const Core::ServiceId& service) const -> Fleet::ServiceLoad;
    auto bestNeighbour(const RoutedRequest& routed) -> std::optional<Candidate>;
    auto estimatedSpareSlots(const Candidate& candidate) -> std::uint32_t;
    [[nodiscard]] auto mayRetry(const RoutedRequest& routed) const -> bool;
    auto changeInFlight(const Core::EntryVmId& vm, std::int32_t change) -> void;

    Dependencies m_dependencies;
    const Core::FailureDomainId m_failureDomain;
    DomainDrain m_drain;
    RetryBudget m_retryBudget;
    Core::Sharded<InFlight> m_inFlight;
};

} // namespace Steering
