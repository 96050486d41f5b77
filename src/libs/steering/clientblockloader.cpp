#include "steering/clientblockloader.h"

#include <algorithm>

namespace Steering {

namespace {

    constexpr Core::Millis firstRetryDelay { 1000 };
    constexpr Core::Millis maximumRetryDelay { 60'000 };
    const Ports::EventKind tableTaken { "client-blocks.taken" };
    const Ports::EventKind tableRefused { "client-blocks.refused" };

    auto chunkName(const ClientBlockManifest& manifest, std::uint32_t chunk) -> std::string
    {
        return std::string(ClientBlockLoader::manifestName) + "/" + manifest.name + "/" + std::to_string(chunk);
    }

} // namespace

ClientBlockLoader::ClientBlockLoader(Collaborators collaborators)
    : m_collaborators(collaborators)
{
}

auto ClientBlockLoader::takeManifest(const Ports::StoredObject& object) -> void
{
    auto manifest = m_collaborators.decoder.manifest(object.text);
    if (!manifest) {
        refuse(manifest.error());
        return;
    }
    LookupTable::Builder builder(manifest->sites);
    const auto load = std::make_shared<Load>(Load { std::move(*manifest), std::move(builder), 0, firstRetryDelay });
    {
        const std::lock_guard lock(m_mutex);
        m_load = load;
    }
    readNext(load);
}

auto ClientBlockLoader::stop() -> void
{
    const std::lock_guard lock(m_mutex);
    m_load.reset();
    m_retry.reset();
}

auto ClientBlockLoader::readNext(const LoadPointer& load) -> void
{
    if (!isCurrent(load))
        return;
    if (load->nextChunk == load->manifest.chunks) {
        finish(load);
        return;
    }
    m_collaborators.store.read(chunkName(load->manifest, load->nextChunk),
        [self = shared_from_this(), load](
            const Core::Result<Ports::StoredObject>& object) { self->takeChunk(load, object); });
}

auto ClientBlockLoader::takeChunk(const LoadPointer& load, const Core::Result<Ports::StoredObject>& object) -> void
{
    if (!object) {
        const std::lock_guard lock(m_mutex);
        if (m_load == load) {
            m_retry = m_collaborators.scheduler.after(
                load->retryDelay, [self = shared_from_this(), load] { self->readNext(load); });
            load->retryDelay = std::min<Core::Duration>(load->retryDelay * 2, maximumRetryDelay);
        }
        return;
    }
    const auto runs = m_collaborators.decoder.chunk(object->text);
    const auto added = runs ? load->builder.add(*runs) : tl::unexpected(runs.error());
    if (!added) {
        refuse(added.error());
        return;
    }
    ++load->nextChunk;
    load->retryDelay = firstRetryDelay;
    readNext(load);
}

auto ClientBlockLoader::finish(const LoadPointer& load) -> void
{
    auto table = load->builder.finish();
    if (!table) {
        refuse(table.error());
        return;
    }
    m_collaborators.events.record({ tableTaken, {},
        { { "name", load->manifest.name }, { "blocks", std::to_string(table->blockCount()) },
            { "bytes", std::to_string(table->size().value()) } } });
    m_collaborators.table.replace(std::move(*table));
}

auto ClientBlockLoader::refuse(const Core::Error& error) -> void
{
    m_collaborators.events.record({ tableRefused, {}, { { "error", describe(error) } } });
}

auto ClientBlockLoader::isCurrent(const LoadPointer& load) -> bool
{
    const std::lock_guard lock(m_mutex);
    return m_load == load;
}

} // namespace Steering
