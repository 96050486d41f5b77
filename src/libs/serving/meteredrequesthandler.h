#pragma once

#include "configuration/steeringconfiguration.h"
#include "ports/clock.h"
#include "ports/metricsink.h"
#include "ports/requesthandler.h"

namespace Serving {

/// Measures every request that passes to another handler. Services that are not in force are counted under one name,
/// so that callers cannot create metrics at will.
class MeteredRequestHandler : public Ports::RequestHandler {
public:
    struct Collaborators {
        Ports::RequestHandler& handler;
        const Ports::Clock& clock;
        const Configuration::ConfigurationSource& configuration;
        Ports::MetricSink& metrics;
    };

    explicit MeteredRequestHandler(Collaborators collaborators);

    auto lookup(const Ports::LookupQuery& query) -> Core::Result<Ports::LookupAnswer> override;
    auto handle(Core::ServiceRequest request, Core::ReplyCallback callback) -> void override;

private:
    Collaborators m_collaborators;
};

} // namespace Serving
