#include "dispatch/upstreampool.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <tuple>

namespace Dispatch {

auto UpstreamPool::refresh(const std::vector<OwnedUpstream>& upstreams, Settings settings, Core::Instant now) -> void
{
    m_settings = settings;
    std::set<Core::UpstreamId> listed;
    for (const auto& [upstream, isOwn] : upstreams) {
        listed.insert(upstream.id);
        const auto [found, isNew]
            = m_endpoints.try_emplace(upstream.id, Endpoint(upstream, now, settings.slowStart, !m_isFirstList));
        found->second.update(upstream, isOwn);
    }
    m_isFirstList = m_isFirstList && upstreams.empty();
    for (auto& [id, endpoint] : m_endpoints) {
        if (!listed.contains(id))
            endpoint.update(endpoint.upstream(), false);
    }
    std::erase_if(
        m_endpoints, [&](const auto& item) { return !listed.contains(item.first) && item.second.isRemovable(); });
}

auto UpstreamPool::acquire(const std::vector<Core::UpstreamId>& tried, Core::Instant now)
    -> std::optional<Fleet::Upstream>
{
    const Endpoint* best = nullptr;
    std::tuple<bool, bool, double> bestScore;
    for (const auto* endpoint : candidates()) {
        if (!endpoint->hasFreeSlot(now))
            continue;
        const auto& id = endpoint->upstream().id;
        const bool isTried = std::find(tried.begin(), tried.end(), id) != tried.end();
        const std::tuple score(isTried, endpoint->reportsDraining(), endpoint->utilization(now));
        if (best == nullptr || score < bestScore) {
            best = endpoint;
            bestScore = score;
        }
    }
    if (best == nullptr)
        return std::nullopt;
    m_endpoints.at(best->upstream().id).begin(now);
    return best->upstream();
}

auto UpstreamPool::release(const Core::UpstreamId& upstream) -> void { m_endpoints.at(upstream).end(); }

auto UpstreamPool::recordHealth(const Core::UpstreamId& upstream, Endpoint::Health health, Core::Instant now) -> void
{
    const auto found = m_endpoints.find(upstream);
    if (found == m_endpoints.end())
        return;
    found->second.recordHealth(health, now);
    if (found->second.shouldBeEjected())
        ejectIfAllowed(found->second, now);
}

auto UpstreamPool::recordShed(const Core::UpstreamId& upstream, Core::Instant now) -> void
{
    const auto found = m_endpoints.find(upstream);
    if (found != m_endpoints.end())
        found->second.pauseAfterShed(now);
}

auto UpstreamPool::recordDraining(const Core::UpstreamId& upstream, Core::Instant now) -> void
{
    const auto found = m_endpoints.find(upstream);
    if (found != m_endpoints.end())
        found->second.markDraining(now);
}

auto UpstreamPool::recordReport(
    const Core::UpstreamId& upstream, const Core::Result<Ports::LoadReport>& report, Core::Instant now) -> void
{
    const auto found = m_endpoints.find(upstream);
    if (found == m_endpoints.end())
        return;
    auto& endpoint = found->second;
    if (!report) {
        if (endpoint.isProbeDue(now))
            endpoint.eject(now);
        return;
    }
    endpoint.applyLoadReport(*report, now, m_settings.slowStart);
    if (endpoint.isProbeDue(now))
        endpoint.startHalfOpen();
}

auto UpstreamPool::hasUsable() const -> bool { return !candidates().empty(); }

auto UpstreamPool::freeSlots(Core::Instant now) const -> std::uint32_t
{
    std::uint32_t free = 0;
    for (const auto* endpoint : candidates())
        free += endpoint->hasFreeSlot(now) ? endpoint->allowedSlots(now) - endpoint->inFlight() : 0;
    return free;
}

auto UpstreamPool::usableSlots(Core::Instant now) const -> std::uint32_t
{
    std::uint32_t usable = 0;
    for (const auto* endpoint : candidates())
        usable += endpoint->allowedSlots(now);
    return usable;
}

auto UpstreamPool::busySlots() const -> std::uint32_t
{
    std::uint32_t busy = 0;
    for (const auto& [id, endpoint] : m_endpoints)
        busy += endpoint.inFlight();
    return busy;
}

auto UpstreamPool::nextPauseEnd(Core::Instant now) const -> std::optional<Core::Instant>
{
    std::optional<Core::Instant> next;
    for (const auto* endpoint : candidates()) {
        const auto end = endpoint->pausedUntil();
        if (end > now && (!next || end < *next))
            next = end;
    }
    return next;
}

auto UpstreamPool::endpointsToQuery(Core::Instant now) const -> std::vector<Fleet::Upstream>
{
    std::vector<Fleet::Upstream> upstreams;
    for (const auto& [id, endpoint] : m_endpoints) {
        if (!endpoint.isRemovable() && (!endpoint.isEjected() || endpoint.isProbeDue(now)))
            upstreams.push_back(endpoint.upstream());
    }
    return upstreams;
}

auto UpstreamPool::candidates() const -> std::vector<const Endpoint*>
{
    std::vector<const Endpoint*> usable;
    for (const auto& [id, endpoint] : m_endpoints) {
        if (endpoint.isUsable())
            usable.push_back(&endpoint);
    }
    return usable;
}

auto UpstreamPool::ejectIfAllowed(Endpoint& endpoint, Core::Instant now) -> void
{
    const auto total = std::count_if(
        m_endpoints.begin(), m_endpoints.end(), [](const auto& item) { return !item.second.isRemovable(); });
    const auto ejected = std::count_if(
        m_endpoints.begin(), m_endpoints.end(), [](const auto& item) { return item.second.isEjected(); });
    // One of two or more endpoints may always be ejected; otherwise a small pool would keep sending to a dead one.
    const auto limit
        = std::max(total > 1 ? 1.0 : 0.0, std::floor(m_settings.ejectionLimit.value() * static_cast<double>(total)));
    if (static_cast<double>(ejected) + 1 <= limit)
        endpoint.eject(now);
}

} // namespace Dispatch
