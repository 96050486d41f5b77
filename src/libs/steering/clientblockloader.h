#pragma once

#include "ports/eventsink.h"
#include "ports/objectstore.h"
#include "ports/scheduler.h"
#include "steering/lookuptableholder.h"

#include <memory>
#include <mutex>

namespace Steering {

/// Describes the stored objects that make up a table of client blocks.
struct ClientBlockManifest {
    /// Identifies the table; part of the name of each chunk object.
    std::string name;
    std::uint32_t chunks = 0;
    std::vector<Site> sites;
};

/// Decodes the manifest and the chunks of a table. The adapter defines the encoding.
class ClientBlockDecoder {
public:
    virtual ~ClientBlockDecoder() = default;
    [[nodiscard]] virtual auto manifest(const std::string& text) const -> Core::Result<ClientBlockManifest> = 0;
    [[nodiscard]] virtual auto chunk(const std::string& text) const -> Core::Result<std::vector<BlockRange>> = 0;
};

/// Loads the table of client blocks chunk by chunk when its manifest changes. The current table stays in use until the
/// new one is complete.
class ClientBlockLoader : public std::enable_shared_from_this<ClientBlockLoader> {
public:
    struct Dependencies {
        Ports::ObjectStore& store;
        Ports::Scheduler& scheduler;
        Ports::EventSink& events;
        const ClientBlockDecoder& decoder;
        LookupTableHolder& table;
    };

    static constexpr auto manifestName = "steering/client-blocks";

    explicit ClientBlockLoader(Dependencies dependencies);

    /// Starts to load the table of a manifest. Cancels a load that is in progress for an earlier manifest.
    auto loadTable(const Ports::StoredObject& object) -> void;
    auto stop() -> void;

private:
    struct Load {
        ClientBlockManifest manifest;
        LookupTable::Builder builder;
        std::uint32_t nextChunk = 0;
        Core::Duration retryDelay {};
    };
    using LoadPointer = std::shared_ptr<Load>;

    auto readNextChunk(const LoadPointer& load) -> void;
    auto handleChunk(const LoadPointer& load, const Core::Result<Ports::StoredObject>& object) -> void;
    auto finish(const LoadPointer& load) -> void;
    auto recordRejection(const Core::Error& error) -> void;
    auto isCurrent(const LoadPointer& load) -> bool;

    Dependencies m_dependencies;
    std::mutex m_mutex;
    LoadPointer m_currentLoad;
    std::unique_ptr<Ports::Timer> m_retryTimer;
};

} // namespace Steering
