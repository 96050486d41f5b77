#pragma once

#include "configuration/steeringconfiguration.h"
#include "dispatch/dispatcher.h"
#include "ledger/bookinggate.h"
#include "ports/clock.h"
#include "ports/eventsink.h"
#include "ports/requesthandler.h"
#include "serving/lookupdecision.h"

#include <atomic>

namespace Serving {

/// Entry VM's view of one request: checks it, and hands it to the dispatcher of its failure domain, or to the booking
/// gate when it carries an idempotency key.
class RequestService : public Ports::RequestHandler {
public:
    struct Collaborators {
        const Ports::Clock& clock;
        const Configuration::ConfigurationSource& configuration;
        LookupDecision& lookups;
        Dispatch::Dispatcher& dispatcher;
        Ledger::BookingGate& bookings;
        const Ledger::KeyPrefixSource& keyPrefixes;
        Ports::EventSink& events;
    };

    explicit RequestService(Collaborators collaborators);

    auto lookup(const Ports::LookupQuery& query) -> Core::Result<Ports::LookupAnswer> override;
    auto handle(Core::ServiceRequest request, Core::ReplyCallback callback) -> void override;
    /// From now on new requests without an idempotency key are refused; those with one are the booking gate's to judge.
    auto refuseNew() -> void { m_refusesNew = true; }

private:
    auto check(const Core::ServiceRequest& request, const Configuration::ServicePolicy& policy) const
        -> std::optional<Core::Refusal>;
    auto setKeyPrefix(Ports::LookupTarget& target, const Configuration::ServicePolicy* policy) const -> void;

    Collaborators m_collaborators;
    std::atomic<bool> m_refusesNew { false };
};

} // namespace Serving
