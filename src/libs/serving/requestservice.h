#pragma once

#include "configuration/steeringconfiguration.h"
#include "dispatch/dispatcher.h"
#include "ledger/bookingexecutor.h"
#include "ports/clock.h"
#include "ports/eventsink.h"
#include "ports/requesthandler.h"
#include "serving/lookupresolver.h"

#include <atomic>

namespace Serving {

/// Handles the look-ups and requests that arrive at an entry VM. Passes requests with an idempotency key to the booking
/// executor; validates all others and passes them to the dispatcher.
class RequestService : public Ports::RequestHandler {
public:
    struct Dependencies {
        const Ports::Clock& clock;
        const Configuration::ConfigurationSource& configuration;
        LookupResolver& lookups;
        Dispatch::Dispatcher& dispatcher;
        Ledger::BookingExecutor& bookings;
        const Ledger::KeyPrefixSource& keyPrefixes;
        Ports::EventSink& events;
    };

    explicit RequestService(Dependencies dependencies);

    auto lookup(const Ports::LookupQuery& query) -> Core::Result<Ports::LookupAnswer> override;
    auto handle(Core::ServiceRequest request, Core::ReplyCallback callback) -> void override;
    /// Refuses new requests without an idempotency key from now on. The booking executor decides on those with a key.
    auto refuseNew() -> void { m_refusesNew = true; }

private:
    auto validate(const Core::ServiceRequest& request, const Configuration::ServicePolicy& policy) const
        -> std::optional<Core::Refusal>;
    auto setKeyPrefix(Ports::LookupTarget& target, const Configuration::ServicePolicy* policy) const -> void;

    Dependencies m_dependencies;
    std::atomic<bool> m_refusesNew { false };
};

} // namespace Serving
