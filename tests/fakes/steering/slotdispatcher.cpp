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
    startWaiting(id);
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

auto SlotDispatcher::startWaiting(const Core::ServiceId& id) -> void
{
    auto& service = m_services[id];
    while (service.busy < service.slots && !service.queue.empty()) {
        auto waiting = std::move(service.queue.front());
        service.queue.pop_front();
        ++service.busy;
        ++m_runs[waiting.request.id];
        const auto time = m_world.between(meanServiceTime / 2, meanServiceTime * 3 / 2);
        m_world.post(m_node, time, [this, id, waiting = std::move(waiting)] {
            --m_services[id].busy;
            waiting.callback(Core::Answer { waiting.request.id, Core::UpstreamId("u"), 200, {}, {} });
            startWaiting(id);
        });
    }
}

} // namespace Fakes
