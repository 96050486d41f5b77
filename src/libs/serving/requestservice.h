#pragma once

#include "configuration/steeringconfiguration.h"
#include "dispatch/dispatcher.h"
#include "fleet/fleetholder.h"
#include "ports/clock.h"
#include "ports/eventsink.h"
#include "ports/requesthandler.h"

namespace Serving {

/// Entry VM's view of one request: checks it, and hands it to the dispatcher of its failure domain.
class RequestService : public Ports::RequestHandler {
public:
    struct Collaborators {
        const Ports::Clock& clock;
        const Configuration::ConfigurationSource& configuration;
        const Fleet::FleetSource& fleet;
        Dispatch::Dispatcher& dispatcher;
        Ports::EventSink& events;
    };

    explicit RequestService(Collaborators collaborators);

    auto lookup(const Ports::LookupQuery& query) -> Core::Result<Ports::LookupAnswer> override;
    auto handle(Core::ServiceRequest request, Core::ReplyCallback callback) -> void override;

private:
    Collaborators m_collaborators;
};

} // namespace Serving
