#pragma once

#include "configuration/configurationholder.h"
#include "fleet/fleetholder.h"
#include "ports/eventsink.h"
#include "spread/replicaport.h"

namespace App {

/// Puts a valid steering document in force.
class DocumentSink : public Spread::ReplicaSink {
public:
    DocumentSink(Configuration::ConfigurationHolder& holder, Ports::EventSink& events);
    auto take(const Ports::StoredObject& object) -> Core::Result<void> override;

private:
    Configuration::ConfigurationHolder& m_holder;
    Ports::EventSink& m_events;
};

/// Takes a valid list of VMs.
class FleetSink : public Spread::ReplicaSink {
public:
    FleetSink(Fleet::FleetHolder& holder, Ports::EventSink& events);
    auto take(const Ports::StoredObject& object) -> Core::Result<void> override;

private:
    Fleet::FleetHolder& m_holder;
    Ports::EventSink& m_events;
};

} // namespace App
