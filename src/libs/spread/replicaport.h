#pragma once

#include "ports/objectstore.h"

#include <optional>

namespace Spread {

/// Objects of the platform's store that every entry VM holds a copy of.
enum class ReplicatedObject : std::uint8_t { SteeringDocument, FleetList };

/// Name of the object in the store.
auto storeName(ReplicatedObject object) -> std::string;

/// What a peer holds; empty when that is not newer than asked for.
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

/// Answers the fetches of peers; safe to call from several threads.
class ReplicaServer {
public:
    virtual ~ReplicaServer() = default;
    [[nodiscard]] virtual auto answerFetch(ReplicatedObject object, Core::Version newerThan) const -> FetchAnswer = 0;
};

/// Checks a newer copy and puts it in force; safe to call from several threads.
class ReplicaSink {
public:
    virtual ~ReplicaSink() = default;
    /// Fails with InvalidDocument, and then changes nothing.
    virtual auto take(const Ports::StoredObject& object) -> Core::Result<void> = 0;
};

} // namespace Spread
