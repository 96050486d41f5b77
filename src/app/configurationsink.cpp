#include "app/configurationsink.h"

#include "jsoncodec/jsoncodec.h"

namespace App {

namespace {

    const Ports::EventKind configurationApplied { "configuration.taken" };
    const Ports::EventKind configurationRefused { "configuration.refused" };
    const Ports::EventKind fleetApplied { "fleet.taken" };
    const Ports::EventKind fleetRefused { "fleet.refused" };

    auto recordRefusal(Ports::EventSink& events, const Ports::EventKind& kind, Core::Version version,
        const Core::Error& error) -> tl::unexpected<Core::Error>
    {
        events.record({ kind, {}, { { "version", std::to_string(version.value()) }, { "error", describe(error) } } });
        return tl::unexpected(error);
    }

    auto recordApplied(Ports::EventSink& events, const Ports::EventKind& kind, Core::Version version) -> void
    {
        events.record({ kind, {}, { { "version", std::to_string(version.value()) } } });
    }

} // namespace

DocumentSink::DocumentSink(Configuration::ConfigurationHolder& holder, Ports::EventSink& events)
    : m_holder(holder)
    , m_events(events)
{
}

auto DocumentSink::apply(const Ports::StoredObject& object) -> Core::Result<void>
{
    auto configuration = JsonCodec::parseSteeringDocument(object.text, object.version);
    if (!configuration)
        return recordRefusal(m_events, configurationRefused, object.version, configuration.error());
    if (m_holder.offer(std::move(*configuration)))
        recordApplied(m_events, configurationApplied, object.version);
    return {};
}

FleetSink::FleetSink(Fleet::FleetHolder& holder, Ports::EventSink& events)
    : m_holder(holder)
    , m_events(events)
{
}

auto FleetSink::apply(const Ports::StoredObject& object) -> Core::Result<void>
{
    auto list = JsonCodec::parseFleetList(object.text, object.version);
    if (!list)
        return recordRefusal(m_events, fleetRefused, object.version, list.error());
    if (m_holder.offer(std::move(*list)))
        recordApplied(m_events, fleetApplied, object.version);
    return {};
}

} // namespace App
