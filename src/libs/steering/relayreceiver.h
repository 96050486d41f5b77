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

/// Runs requests that other entry VMs relayed, on own upstreams only: a relayed request is never relayed again.
class RelayReceiver : public RelayHandler {
public:
    struct Collaborators {
        const Ports::Clock& clock;
        const Configuration::ConfigurationSource& configuration;
        Dispatch::Dispatcher& local;
        CreditRedeemer& credits;
    };

    RelayReceiver(Collaborators collaborators, Core::FailureDomainId failureDomain);

    auto accept(RelayCall call, Core::ReplyCallback callback) -> void override;
    /// From now on new requests are refused; those in flight go on.
    auto refuseNew() -> void { m_refusesNew = true; }

private:
    struct Attempts {
        /// Attempts at non-idempotent requests, until duplicates of them are not expected any more.
        std::map<AttemptId, Core::Instant> seen;
        Core::Instant sweepAt;
    };
    enum class Admission : std::uint8_t { New, Duplicate, Full };

    auto admit(const RelayCall& call) -> Admission;
    auto refuseWithoutCredit(const RelayCall& call) -> std::optional<Core::Refusal>;
    auto refuse(const RelayCall& call, const Configuration::ServicePolicy* policy) -> std::optional<Core::Refusal>;

    Collaborators m_collaborators;
    const Core::FailureDomainId m_failureDomain;
    std::atomic<bool> m_refusesNew { false };
    Core::Sharded<Attempts> m_attempts;
};

} // namespace Steering
