#include "fakes/steering/slotdispatcher.h"

namespace Fakes {

auto SlotDispatcher::dispatch(
    Core::ServiceRequest request, const Configuration::ServicePolicy&, Core::ReplyCallback callback) -> void
{
    auto& service = m_services[request.service];
    const auto slots = std::max(1U, service.slots);
    const auto wait = meanServiceTime * (static_cast<std::int64_t>(service.queue.size() + 1) / slots + 1);
    if (service.slots == 0 || m_world.now() + wait > request.deadline) {
        callback(Core::Refusal { Core::RunOutcome::NotRun, Core::RefusalReason::Overloaded, "full", "wait", {} });
        return;
    }
    const auto id = request.service;
    service.queue.push_back({ std::move(request), std::move(callback) });
    startQueued(id);
}

auto SlotDispatcher::serviceLoads() const -> std::vector<Fleet::ServiceLoad>
{
    std::vector<Fleet::ServiceLoad> loads;
    for (const auto& [id, service] : m_services) {
        loads.push_back({ id, Core::SlotCount(service.slots), Core::SlotCount(service.busy),
            static_cast<std::uint32_t>(service.queue.size()), meanServiceTime });
    }
    return loads;
}

auto SlotDispatcher::startQueued(const Core::ServiceId& id) -> void
{
    auto& service = m_services[id];
    while (service.busy < service.slots && !service.queue.empty()) {
        auto queued = std::move(service.queue.front());
        service.queue.pop_front();
        ++service.busy;
        ++m_runs[queued.request.id];
        const auto serviceTime = m_world.between(meanServiceTime / 2, meanServiceTime * 3 / 2);
        m_world.post(m_node, serviceTime, [this, id, queued = std::move(queued)] {
            --m_services[id].busy;
            queued.callback(Core::Answer { queued.request.id, Core::UpstreamId("u"), 200, {}, {} });
            startQueued(id);
        });
    }
}

} // namespace Fakes
