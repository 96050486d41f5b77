#pragma once

#include "ports/objectstore.h"

#include <optional>

namespace Replication {

/// Objects of the platform's store that are replicated to every entry VM.
enum class ReplicatedObject : std::uint8_t { SteeringDocument, FleetList };

/// Returns the name of the object in the store.
auto objectName(ReplicatedObject object) -> std::string;

/// Copy that a peer holds; empty if it is not newer than the version given in the fetch.
using FetchAnswer = std::optional<Ports::StoredObject>;

/// Fetches copies from peers.
class ReplicaPort {
public:
    using Callback = std::function<void(Core::Result<FetchAnswer>)>;

    virtual ~ReplicaPort() = default;
    virtual auto fetch(const Core::Address& peer, ReplicatedObject object, Core::Version newerThan,
        Core::Duration timeout, Callback callback) -> void
        = 0;
};

/// Serves the fetches of peers. Thread-safe.
class ReplicaServer {
public:
    virtual ~ReplicaServer() = default;
    [[nodiscard]] virtual auto answerFetch(ReplicatedObject object, Core::Version newerThan) const -> FetchAnswer = 0;
};

/// Validates a newer copy and puts it in force. Thread-safe.
class ReplicaSink {
public:
    virtual ~ReplicaSink() = default;
    /// Fails with InvalidDocument and changes nothing if the copy is invalid.
    virtual auto apply(const Ports::StoredObject& object) -> Core::Result<void> = 0;
};

} // namespace Replication
