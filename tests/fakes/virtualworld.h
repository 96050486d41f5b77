#pragma once

#include "ports/clock.h"
#include "ports/peertransport.h"
#include "ports/scheduler.h"

#include <map>
#include <queue>
#include <random>
#include <set>

namespace Fakes {

using NodeId = Core::Address;

/// Probabilities of message loss and duplication, and the range of message delays.
struct NetworkFaults {
    double loss = 0;
    double duplication = 0;
    Core::Duration minimumDelay = Core::Millis(1);
    Core::Duration maximumDelay = Core::Millis(1);
};

/// Number of messages and payload bytes sent by all nodes, including replies.
struct NetworkTraffic {
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
};

/// Simulates, in virtual time, nodes that exchange messages over a lossy network and that can be crashed and paused.
/// Everything runs on one thread, and a run is reproducible from its seed.
class VirtualWorld : public Ports::Clock {
public:
    explicit VirtualWorld(std::uint64_t seed)
        : m_random(seed)
    {
    }

    [[nodiscard]] auto now() const -> Core::Instant override { return m_now; }
    [[nodiscard]] auto wallTime() const -> Core::WallTime override { return Core::WallTime(m_now.time_since_epoch()); }

    /// Schedules a task on the node. The task is dropped if the node crashes first, and deferred while the node is
    /// paused.
    auto post(const NodeId& node, Core::Duration delay, Ports::Scheduler::Task task) -> void;
    /// Returns a task that posts the given one to the current process of the node, and does nothing once that process
    /// has crashed.
    auto bind(const NodeId& node, Ports::Scheduler::Task task) -> Ports::Scheduler::Task;
    auto runFor(Core::Duration duration) -> void;

    /// Drops all tasks and handlers of the node. Tasks posted afterwards belong to its next process.
    auto crash(const NodeId& node) -> void;
    auto pause(const NodeId& node) -> void;
    auto resume(const NodeId& node) -> void;
    [[nodiscard]] auto isPaused(const NodeId& node) const -> bool { return m_paused.contains(node); }
    /// Drops all messages between the two nodes until heal().
    auto cut(const NodeId& one, const NodeId& other) -> void;
    auto heal() -> void { m_cutLinks.clear(); }
    auto setFaults(NetworkFaults faults) -> void { m_faults = faults; }

    auto call(const NodeId& from, const NodeId& to, Ports::PeerMessage message, Core::Duration timeout,
        Ports::PeerTransport::ReplyCallback callback) -> void;
    auto registerHandler(const NodeId& node, std::string kind, Ports::PeerRouter::Handler handler) -> void;

    [[nodiscard]] auto traffic() const -> NetworkTraffic { return m_traffic; }

    auto chance(double probability) -> bool { return std::bernoulli_distribution(probability)(m_random); }
    /// Returns a uniformly distributed number in [0, bound).
    auto below(std::size_t bound) -> std::size_t { return m_random() % bound; }
    auto between(Core::Duration low, Core::Duration high) -> Core::Duration;

private:
    struct Task {
        Core::Instant due;
        std::uint64_t sequence = 0;
        NodeId node;
        std::uint64_t generation = 0;
        Ports::Scheduler::Task run;
    };
    struct RunsLater {
        auto operator()(const Task& one, const Task& other) const -> bool
        {
            return std::tie(one.due, one.sequence) > std::tie(other.due, other.sequence);
        }
    };

    auto isCut(const NodeId& one, const NodeId& other) const -> bool;
    auto isLost(const NodeId& from, const NodeId& to) -> bool;
    auto delay() -> Core::Duration { return between(m_faults.minimumDelay, m_faults.maximumDelay); }
    auto execute(Task task) -> void;

    std::mt19937_64 m_random;
    NetworkFaults m_faults;
    NetworkTraffic m_traffic;
    Core::Instant m_now { Core::Millis(1) };
    std::uint64_t m_sequence = 0;
    std::priority_queue<Task, std::vector<Task>, RunsLater> m_tasks;
    std::map<NodeId, std::uint64_t> m_generations;
    std::map<NodeId, std::vector<Task>> m_paused;
    std::set<std::pair<NodeId, NodeId>> m_cutLinks;
    std::map<NodeId, std::map<std::string, Ports::PeerRouter::Handler>> m_handlers;
};

/// Implements the scheduler, peer transport and peer router ports for one node of a VirtualWorld.
class VirtualNode : public Ports::Scheduler, public Ports::PeerTransport, public Ports::PeerRouter {
public:
    VirtualNode(VirtualWorld& world, NodeId id)
        : m_world(world)
        , m_id(std::move(id))
    {
    }

    auto post(Task task) -> void override { m_world.post(m_id, {}, std::move(task)); }
    [[nodiscard]] auto after(Core::Duration delay, Task task) -> std::unique_ptr<Ports::Timer> override;
    auto call(const Core::Address& peer, Ports::PeerMessage message, Core::Duration timeout, ReplyCallback callback)
        -> void override
    {
        m_world.call(m_id, peer, std::move(message), timeout, std::move(callback));
    }
    auto registerHandler(std::string kind, Handler handler) -> void override
    {
        m_world.registerHandler(m_id, std::move(kind), std::move(handler));
    }

private:
    VirtualWorld& m_world;
    NodeId m_id;
};

} // namespace Fakes
