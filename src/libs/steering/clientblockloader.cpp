#include "steering/clientblockloader.h"

#include <algorithm>

namespace Steering {

namespace {

    constexpr Core::Millis firstRetryDelay { 1000 };
    constexpr Core::Millis maximumRetryDelay { 60'000 };
    const Ports::EventKind tableLoaded { "client-blocks.taken" };
    const Ports::EventKind tableRejected { "client-blocks.refused" };

    auto chunkName(const ClientBlockManifest& manifest, std::uint32_t chunk) -> std::string
    {
        return std::string(ClientBlockLoader::manifestName) + "/" + manifest.name + "/" + std::to_string(chunk);
    }

} // namespace

ClientBlockLoader::ClientBlockLoader(Dependencies dependencies)
    : m_dependencies(dependencies)
{
}

auto ClientBlockLoader::loadTable(const Ports::StoredObject& object) -> void
{
    auto manifest = m_dependencies.decoder.manifest(object.text);
    if (!manifest) {
        recordRejection(manifest.error());
        return;
    }
    LookupTable::Builder builder(manifest->sites);
    const auto load = std::make_shared<Load>(Load { std::move(*manifest), std::move(builder), 0, firstRetryDelay });
    {
        const std::lock_guard lock(m_mutex);
        m_currentLoad = load;
    }
    readNextChunk(load);
}

auto ClientBlockLoader::stop() -> void
{
    const std::lock_guard lock(m_mutex);
    m_currentLoad.reset();
    m_retryTimer.reset();
}

auto ClientBlockLoader::readNextChunk(const LoadPointer& load) -> void
{
    if (!isCurrent(load))
        return;
    if (load->nextChunk == load->manifest.chunks) {
        finish(load);
        return;
    }
    m_dependencies.store.read(chunkName(load->manifest, load->nextChunk),
        [self = shared_from_this(), load](
            const Core::Result<Ports::StoredObject>& object) { self->handleChunk(load, object); });
}

auto ClientBlockLoader::handleChunk(const LoadPointer& load, const Core::Result<Ports::StoredObject>& object) -> void
{
    if (!object) {
        const std::lock_guard lock(m_mutex);
        if (m_currentLoad == load) {
            m_retryTimer = m_dependencies.scheduler.after(
                load->retryDelay, [self = shared_from_this(), load] { self->readNextChunk(load); });
            load->retryDelay = std::min<Core::Duration>(load->retryDelay * 2, maximumRetryDelay);
        }
        return;
    }
    const auto ranges = m_dependencies.decoder.chunk(object->text);
    const auto added = ranges ? load->builder.add(*ranges) : tl::unexpected(ranges.error());
    if (!added) {
        recordRejection(added.error());
        return;
    }
    ++load->nextChunk;
    load->retryDelay = firstRetryDelay;
    readNextChunk(load);
}

auto ClientBlockLoader::finish(const LoadPointer& load) -> void
{
    auto table = load->builder.finish();
    if (!table) {
        recordRejection(table.error());
        return;
    }
    m_dependencies.events.record({ tableLoaded, {},
        { { "name", load->manifest.name }, { "blocks", std::to_string(table->blockCount()) },
            { "bytes", std::to_string(table->size().value()) } } });
    m_dependencies.table.replace(std::move(*table));
}

auto ClientBlockLoader::recordRejection(const Core::Error& error) -> void
{
    m_dependencies.events.record({ tableRejected, {}, { { "error", describe(error) } } });
}

auto ClientBlockLoader::isCurrent(const LoadPointer& load) -> bool
{
    const std::lock_guard lock(m_mutex);
    return m_currentLoad == load;
}

} // namespace Steering
