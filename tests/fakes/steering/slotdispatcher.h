#pragma once

#include "dispatch/dispatcher.h"
#include "fakes/virtualworld.h"
#include "fleet/serviceload.h"

#include <deque>

namespace Fakes {

/// How often each request was run, over the whole fleet.
using RunCounts = std::map<Core::RequestId, std::uint32_t>;

/// Runs requests on a number of slots per service, first in first out, and refuses early what would wait too long.
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
    struct Waiting {
        Core::ServiceRequest request;
        Core::ReplyCallback callback;
    };
    struct Service {
        std::uint32_t slots = 0;
        std::uint32_t busy = 0;
        std::deque<Waiting> queue;
    };

    auto startWaiting(const Core::ServiceId& service) -> void;

    VirtualWorld& m_world;
    NodeId m_node;
    RunCounts& m_runs;
    std::map<Core::ServiceId, Service> m_services;
};

} // namespace Fakes
