#pragma once

#include "dispatch/dispatcher.h"
#include "fakes/virtualworld.h"
#include "fleet/serviceload.h"

#include <deque>

namespace Fakes {

/// Number of runs of each request in the whole fleet.
using RunCounts = std::map<Core::RequestId, std::uint32_t>;

/// Runs the requests of each service on a limited number of slots, first in, first out. Refuses a request immediately
/// if it is not expected to complete before its deadline.
class SlotDispatcher : public Dispatch::Dispatcher, public Fleet::LoadSource {
public:
    SlotDispatcher(VirtualWorld& world, NodeId node, RunCounts& runs)
        : m_world(world)
        , m_node(std::move(node))
        , m_runs(runs)
    {
    }

    auto setSlots(const Core::ServiceId& service, std::uint32_t slots) -> void { m_services[service].slots = slots; }
    auto dispatch(Core::ServiceRequest request, const Configuration::ServicePolicy& policy,
        Core::ReplyCallback callback) -> void override;
    [[nodiscard]] auto serviceLoads() const -> std::vector<Fleet::ServiceLoad> override;

    static constexpr Core::Millis meanServiceTime { 20 };

private:
    struct QueuedRequest {
        Core::ServiceRequest request;
        Core::ReplyCallback callback;
    };
    struct Service {
        std::uint32_t slots = 0;
        std::uint32_t busy = 0;
        std::deque<QueuedRequest> queue;
    };

    auto startQueued(const Core::ServiceId& service) -> void;

    VirtualWorld& m_world;
    NodeId m_node;
    RunCounts& m_runs;
    std::map<Core::ServiceId, Service> m_services;
};

} // namespace Fakes
