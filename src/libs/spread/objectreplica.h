#pragma once

#include "ports/clock.h"
#include "ports/eventsink.h"
#include "ports/scheduler.h"
#include "spread/replicaport.h"

#include <memory>
#include <mutex>
#include <set>

namespace Spread {

/// Intervals of the replication.
struct ReplicaTiming {
    Core::Millis tick { 500 };
    /// Longest time that one watch waits at the store.
    Core::Millis watchTimeout { 2000 };
    /// Time after which an unanswered call to the store no longer blocks the next one.
    Core::Millis storeCallLimit { 6000 };
    Core::Millis fetchTimeout { 1000 };
    /// Longest time for which a starting process waits for the store before its peers' answers count.
    Core::Millis storePatience { 1500 };
    /// Peers that a starting process asks.
    std::size_t startupPeers = 20;
    /// Times that one of them is asked before it counts as unreachable.
    std::size_t startupAttempts = 4;
};

/// This member's part in watching the store for its failure domain.
enum class WatchDuty : std::uint8_t {
    None,
    /// Watches.
    Watch,
    /// Watches, and reads now and then in case the watch is stalled.
    WatchAndRead,
};

/// Says what this member has to watch; safe to call from several threads.
class DutySource {
public:
    virtual ~DutySource() = default;
    [[nodiscard]] virtual auto watchDuty(ReplicatedObject object) const -> WatchDuty = 0;
    /// Peers that a starting process can ask.
    [[nodiscard]] virtual auto startupPeers() const -> std::set<Core::Address> = 0;
    /// Called when a newer version has been put in force.
    virtual auto adopted(ReplicatedObject object) -> void = 0;
};

/// Copy of one object of the store. Its version never goes down: a starting process puts nothing in force before the
/// store has answered or, while the store is away, all peers that it can reach have.
class ObjectReplica : public std::enable_shared_from_this<ObjectReplica> {
public:
    struct Collaborators {
        const Ports::Clock& clock;
        Ports::Scheduler& scheduler;
        Ports::ObjectStore& store;
        Ports::EventSink& events;
        ReplicaPort& port;
        ReplicaSink& sink;
        DutySource& duty;
    };

    /// A version that was found in the store and not put in force.
    struct Refusal {
        Core::Version version;
        std::string reason;
    };
    struct Status {
        Core::Version version;
        std::uint64_t digest = 0;
        Core::Instant adoptedAt;
        /// When the store last said that it has nothing newer, to this member or another one; empty when never.
        std::optional<Core::Instant> confirmedAt;
        /// Empty version when nothing is refused.
        Refusal refused;
    };

    ObjectReplica(Collaborators collaborators, ReplicatedObject object, ReplicaTiming timing = {});

    auto start() -> void;
    auto stop() -> void;
    /// A peer says that it holds this version.
    auto peerHolds(const Core::Address& peer, Core::Version version) -> void;
    /// A peer says that the store confirmed the version at that time.
    auto peerConfirmed(Core::Version version, Core::Instant confirmedAt) -> void;

    /// A peer found this version in the store and could not put it in force.
    auto peerRefused(Core::Version version, const std::string& reason) -> void;

    [[nodiscard]] auto status() const -> Status;
    [[nodiscard]] auto answerFetch(Core::Version newerThan) const -> FetchAnswer;

private:
    struct State {
        Ports::StoredObject held;
        std::uint64_t digest = 0;
        Core::Instant adoptedAt;
        std::optional<Core::Instant> confirmedAt;
        Refusal refused;
        /// Highest copy that a starting process has been given.
        Ports::StoredObject candidate;
        bool isSettled = false;
        Core::Instant startedAt;
        std::set<Core::Address> asked;
        std::set<Core::Address> unanswered;
        bool hasStoreFailed = false;
        bool isCallingStore = false;
        bool isReadNext = true;
        Core::Instant storeCallStarted;
        std::uint64_t storeCall = 0;
        bool isFetching = false;
        std::unique_ptr<Ports::Timer> timer;
        bool isStopped = false;
    };

    auto tick() -> void;
    auto askStoreIfDue(WatchDuty duty) -> void;
    auto storeAnswered(std::uint64_t call, bool isRead, const Core::Result<Ports::StoredObject>& result) -> void;
    auto askStartupPeers() -> void;
    auto askStartupPeer(const Core::Address& peer, std::size_t attempt) -> void;
    auto settleIfComplete() -> void;
    auto settle() -> void;
    auto fetchFrom(const Core::Address& peer, Core::Version newerThan) -> void;
    auto offer(const Ports::StoredObject& object) -> void;
    auto putInForce(const Ports::StoredObject& object) -> void;

    Collaborators m_collaborators;
    const ReplicatedObject m_object;
    const ReplicaTiming m_timing;
    mutable std::mutex m_mutex;
    State m_state;
};

} // namespace Spread
