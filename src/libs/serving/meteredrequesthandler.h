#pragma once

#include "configuration/steeringconfiguration.h"
#include "ports/clock.h"
#include "ports/metricsink.h"
#include "ports/requesthandler.h"

namespace Serving {

/// Decorator that records metrics of every request it forwards to another handler. Services that are not in the
/// configuration in force are counted under one name, so that callers cannot create an unlimited number of metrics.
class MeteredRequestHandler : public Ports::RequestHandler {
public:
    struct Dependencies {
        Ports::RequestHandler& handler;
        const Ports::Clock& clock;
        const Configuration::ConfigurationSource& configuration;
        Ports::MetricSink& metrics;
    };

    explicit MeteredRequestHandler(Dependencies dependencies);

    auto lookup(const Ports::LookupQuery& query) -> Core::Result<Ports::LookupAnswer> override;
    auto handle(Core::ServiceRequest request, Core::ReplyCallback callback) -> void override;

private:
    Dependencies m_dependencies;
};

} // namespace Serving
