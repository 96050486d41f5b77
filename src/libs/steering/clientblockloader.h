#pragma once

#include "ports/eventsink.h"
#include "ports/objectstore.h"
#include "ports/scheduler.h"
#include "steering/lookuptableholder.h"

#include <memory>
#include <mutex>

namespace Steering {

/// Which objects make up the table of client blocks.
struct ClientBlockManifest {
    /// Part of the chunks' names; another table has another name.
    std::string name;
    std::uint32_t chunks = 0;
    std::vector<Site> sites;
};

/// Reads the objects of the table; the encoding is the adapter's.
class ClientBlockDecoder {
public:
    virtual ~ClientBlockDecoder() = default;
    [[nodiscard]] virtual auto manifest(const std::string& text) const -> Core::Result<ClientBlockManifest> = 0;
    [[nodiscard]] virtual auto chunk(const std::string& text) const -> Core::Result<std::vector<BlockRun>> = 0;
};

/// Loads the table of client blocks chunk by chunk after its manifest has changed. The table in use stays until the
/// next one is whole.
class ClientBlockLoader : public std::enable_shared_from_this<ClientBlockLoader> {
public:
    struct Collaborators {
        Ports::ObjectStore& store;
        Ports::Scheduler& scheduler;
        Ports::EventSink& events;
        const ClientBlockDecoder& decoder;
        LookupTableHolder& table;
    };

    static constexpr auto manifestName = "steering/client-blocks";

    explicit ClientBlockLoader(Collaborators collaborators);

    /// Begins to load the table; a load that has begun for an earlier manifest ends without effect.
    auto takeManifest(const Ports::StoredObject& object) -> void;
    auto stop() -> void;

private:
    struct Load {
        ClientBlockManifest manifest;
        LookupTable::Builder builder;
        std::uint32_t nextChunk = 0;
        Core::Duration retryDelay {};
    };
    using LoadPointer = std::shared_ptr<Load>;

    auto readNext(const LoadPointer& load) -> void;
    auto takeChunk(const LoadPointer& load, const Core::Result<Ports::StoredObject>& object) -> void;
    auto finish(const LoadPointer& load) -> void;
    auto refuse(const Core::Error& error) -> void;
    auto isCurrent(const LoadPointer& load) -> bool;

    Collaborators m_collaborators;
    std::mutex m_mutex;
    LoadPointer m_load;
    std::unique_ptr<Ports::Timer> m_retry;
};

} // namespace Steering
