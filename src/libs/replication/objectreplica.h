#pragma once

#include "ports/clock.h"
#include "ports/eventsink.h"
#include "ports/scheduler.h"
#include "replication/replicaport.h"

#include <memory>
#include <mutex>
#include <set>

namespace Replication {

/// Intervals, timeouts and limits of the replication.
struct ReplicaTiming {
    Core::Millis tick { 500 };
    /// Longest time for which the store holds a watch open.
    Core::Millis watchTimeout { 2000 };
    /// Time after which a store call without a response no longer blocks the next one.
    Core::Millis storeCallLimit { 6000 };
    Core::Millis fetchTimeout { 1000 };
    /// Longest time for which a starting process waits for the store before it relies on its peers.
    Core::Millis storeStartupTimeout { 1500 };
    /// Maximum number of peers that a starting process queries.
    std::size_t startupPeers = 20;
    /// Attempts to query a peer before it counts as unreachable.
    std::size_t startupAttempts = 4;
};

/// Role of this member in watching the store on behalf of its failure domain.
enum class WatchRole : std::uint8_t {
    None,
    Watch,
    /// Alternates between watching and reading, in case the watch is stalled.
    WatchAndRead,
};

/// Coordinates the replicas of this member with the other members. Thread-safe.
class ReplicaCoordinator {
public:
    virtual ~ReplicaCoordinator() = default;
    [[nodiscard]] virtual auto watchRole(ReplicatedObject object) const -> WatchRole = 0;
    /// Returns the peers that a starting process can query.
    [[nodiscard]] virtual auto startupPeers() const -> std::set<Core::Address> = 0;
    /// Called after a newer version has been put in force.
    virtual auto onAdopted(ReplicatedObject object) -> void = 0;
};

/// Replica of one object of the store. Its version never decreases: a starting process puts no version in force until
/// the store has responded or, if the store is unreachable, until all reachable peers have responded.
class ObjectReplica : public std::enable_shared_from_this<ObjectReplica> {
public:
    struct Dependencies {
        const Ports::Clock& clock;
        Ports::Scheduler& scheduler;
        Ports::ObjectStore& store;
        Ports::EventSink& events;
        ReplicaPort& port;
        ReplicaSink& sink;
        ReplicaCoordinator& coordinator;
    };

    /// Version in the store that could not be put in force.
    struct Refusal {
        Core::Version version;
        std::string reason;
    };
    struct Status {
        Core::Version version;
        std::uint64_t digest = 0;
        Core::Instant adoptedAt;
        /// Time at which the store last confirmed to any member that it has nothing newer; empty if it never has.
        std::optional<Core::Instant> confirmedAt;
        /// Version 0 if no version is refused.
        Refusal refused;
    };

    ObjectReplica(Dependencies dependencies, ReplicatedObject object, ReplicaTiming timing = {});

    auto start() -> void;
    auto stop() -> void;
    /// Handles the announcement of a peer that it holds this version.
    auto onPeerVersion(const Core::Address& peer, Core::Version version) -> void;
    /// Handles the announcement of a peer that the store confirmed the version at the given time.
    auto onPeerConfirmation(Core::Version version, Core::Instant confirmedAt) -> void;
    /// Handles the announcement of a peer that it found this version in the store and could not put it in force.
    auto onPeerRefusal(Core::Version version, const std::string& reason) -> void;

    [[nodiscard]] auto status() const -> Status;
    [[nodiscard]] auto answerFetch(Core::Version newerThan) const -> FetchAnswer;

private:
    struct State {
        Ports::StoredObject current;
        std::uint64_t digest = 0;
        Core::Instant adoptedAt;
        std::optional<Core::Instant> confirmedAt;
        Refusal refused;
        /// Copy with the highest version received during startup.
        Ports::StoredObject candidate;
        /// True once startup is complete and versions may be put in force.
        bool isSettled = false;
        Core::Instant startedAt;
        std::set<Core::Address> queriedPeers;
        std::set<Core::Address> pendingPeers;
        bool hasStoreFailed = false;
        bool isCallingStore = false;
        bool isReadNext = true;
        Core::Instant storeCallStarted;
        std::uint64_t storeCallId = 0;
        bool isFetching = false;
        std::unique_ptr<Ports::Timer> timer;
        bool isStopped = false;
    };

    auto tick() -> void;
    auto callStoreIfDue(WatchRole role) -> void;
    auto onStoreResponse(std::uint64_t callId, bool isRead, const Core::Result<Ports::StoredObject>& result) -> void;
    auto queryStartupPeers() -> void;
    auto queryStartupPeer(const Core::Address& peer, std::size_t attempt) -> void;
    auto settleIfComplete() -> void;
    auto settle() -> void;
    auto fetchFrom(const Core::Address& peer, Core::Version newerThan) -> void;
    auto processCopy(const Ports::StoredObject& object) -> void;
    auto applyCopy(const Ports::StoredObject& object) -> void;

    Dependencies m_dependencies;
    const ReplicatedObject m_object;
    const ReplicaTiming m_timing;
    mutable std::mutex m_mutex;
    State m_state;
};

} // namespace Replication
