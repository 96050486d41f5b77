#pragma once

#include "configuration/steeringconfiguration.h"
#include "core/sharded.h"
#include "dispatch/dispatcher.h"
#include "ports/clock.h"
#include "steering/creditports.h"
#include "steering/relayport.h"

#include <atomic>
#include <map>
#include <optional>

namespace Steering {

/// Runs requests that other entry VMs relayed to this one, only on this entry VM's upstreams: a relayed request is
/// never relayed again.
class RelayReceiver : public RelayHandler {
public:
    struct Dependencies {
        const Ports::Clock& clock;
        const Configuration::ConfigurationSource& configuration;
        Dispatch::Dispatcher& local;
        CreditRedeemer& credits;
    };

    RelayReceiver(Dependencies dependencies, Core::FailureDomainId failureDomain);

    auto accept(RelayCall call, Core::ReplyCallback callback) -> void override;
    /// Refuses new requests from now on; those in flight continue.
    auto refuseNew() -> void { m_refusesNew = true; }

private:
    struct Attempts {
        /// Attempts at non-idempotent requests, with the time until which duplicates of them are detected.
        std::map<AttemptId, Core::Instant> seen;
        Core::Instant sweepAt;
    };
    enum class AttemptStatus : std::uint8_t { New, Duplicate, Full };

    auto registerAttempt(const RelayCall& call) -> AttemptStatus;
    auto creditRefusal(const RelayCall& call) -> std::optional<Core::Refusal>;
    auto refusalFor(const RelayCall& call, const Configuration::ServicePolicy* policy) -> std::optional<Core::Refusal>;

    Dependencies m_dependencies;
    const Core::FailureDomainId m_failureDomain;
    std::atomic<bool> m_refusesNew { false };
    Core::Sharded<Attempts> m_attempts;
};

} // namespace Steering
