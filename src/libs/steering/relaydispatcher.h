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

/// Runs a request on own upstreams while they have room; else relays it to another entry VM of the failure domain, or
/// against a credit to another failure domain. With nowhere better to go, the request stays with the own failure
/// domain.
class RelayDispatcher : public Dispatch::Dispatcher {
public:
    struct Collaborators {
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

    RelayDispatcher(Collaborators collaborators, Core::FailureDomainId failureDomain);

    auto dispatch(Core::ServiceRequest request, const Configuration::ServicePolicy& policy,
        Core::ReplyCallback callback) -> void override;

private:
    /// One request on its way through several attempts.
    struct Journey {
        Core::ServiceRequest request;
        Configuration::ServicePolicy policy;
        Core::ReplyCallback callback;
        std::set<Core::EntryVmId> tried;
        std::uint32_t attempts = 0;
    };
    using JourneyPointer = std::shared_ptr<Journey>;
    struct InFlight {
        std::map<Core::EntryVmId, std::uint32_t> relays;
    };

    auto route(const JourneyPointer& journey) -> void;
    auto runLocally(const JourneyPointer& journey) -> void;
    [[nodiscard]] auto takesNoNewWork() -> bool;
    [[nodiscard]] auto isServedElsewhere(const Core::ServiceId& service) const -> bool;
    auto spill(const JourneyPointer& journey) -> void;
    auto stayInFailureDomain(const JourneyPointer& journey) -> void;
    auto relay(const JourneyPointer& journey, const Fleet::EntryVm& target, std::optional<CreditId> credit) -> void;
    auto finish(const JourneyPointer& journey, const Fleet::EntryVm& target, RelayResult result) -> void;
    auto finishWithReply(const JourneyPointer& journey, Core::Reply reply) -> void;
    auto finishLost(const JourneyPointer& journey, const Core::Error& error) -> void;

    [[nodiscard]] auto ownLoad(const Core::ServiceId& service) const -> Fleet::ServiceLoad;
    auto bestOwner(const Journey& journey) -> std::optional<Candidate>;
    auto roomOf(const Candidate& candidate) -> std::uint32_t;
    [[nodiscard]] auto mayTryAgain(const Journey& journey) const -> bool;
    auto changeInFlight(const Core::EntryVmId& vm, std::int32_t change) -> void;

    Collaborators m_collaborators;
    const Core::FailureDomainId m_failureDomain;
    DomainDrain m_drain;
    RetryBudget m_retries;
    Core::Sharded<InFlight> m_inFlight;
};

} // namespace Steering
