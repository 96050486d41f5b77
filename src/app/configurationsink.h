#pragma once

#include "configuration/configurationholder.h"
#include "fleet/fleetholder.h"
#include "ports/eventsink.h"
#include "replication/replicaport.h"

namespace App {

/// Validates replicated steering documents, puts newer ones in force, and records the outcome as events.
class DocumentSink : public Replication::ReplicaSink {
public:
    DocumentSink(Configuration::ConfigurationHolder& holder, Ports::EventSink& events);
    auto apply(const Ports::StoredObject& object) -> Core::Result<void> override;

private:
    Configuration::ConfigurationHolder& m_holder;
    Ports::EventSink& m_events;
};

/// Validates replicated lists of VMs, applies newer ones, and records the outcome as events.
class FleetSink : public Replication::ReplicaSink {
public:
    FleetSink(Fleet::FleetHolder& holder, Ports::EventSink& events);
    auto apply(const Ports::StoredObject& object) -> Core::Result<void> override;

private:
    Fleet::FleetHolder& m_holder;
    Ports::EventSink& m_events;
};

} // namespace App
