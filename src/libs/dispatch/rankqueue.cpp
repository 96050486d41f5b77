#include "dispatch/rankqueue.h"

#include <algorithm>
#include <cmath>

namespace Dispatch {

namespace {

    /// Weight of the newest sample in exponentially weighted means.
    constexpr double sampleWeight = 0.1;
    /// Deviations above the mean that nearly every service time stays within.
    constexpr double deviationsToLongest = 2;
    /// Requests whose slot time a floor may save up.
    constexpr double owedRequests = 4;
    /// Share of the slots that a service is assumed to get at least.
    constexpr double smallestShare = 0.02;
    /// Slot time that a service is charged before its first answer.
    constexpr double assumedCostMicros = 10'000;

    auto blend(double mean, double sample) -> double
    {
        return mean == 0 ? sample : mean + sampleWeight * (sample - mean);
    }

    auto micros(Core::Duration duration) -> double { return static_cast<double>(duration.count()); }

    auto duration(double micros) -> Core::Duration { return Core::Duration(static_cast<Core::Duration::rep>(micros)); }

    /// Whether the left service gives up a waiting place before the right one.
    auto yieldsBefore(const Configuration::ServicePolicy& left, const Configuration::ServicePolicy& right) -> bool
    {
        return left.rank != right.rank ? left.rank > right.rank : left.worth < right.worth;
    }

} // namespace

RankQueue::RankQueue(std::size_t limit)
    : m_limit(limit)
{
}

auto RankQueue::addService(const Configuration::ServicePolicy& policy) -> void { laneFor(policy); }

auto RankQueue::offer(PendingPointer pending) -> Offer
{
    Offer offer;
    if (m_size >= m_limit) {
        offer.evicted = evictFor(*pending);
        if (!offer.evicted)
            return offer;
    }
    putBack(std::move(pending));
    offer.isAccepted = true;
    return offer;
}

auto RankQueue::putBack(PendingPointer pending) -> void
{
    auto& lane = laneFor(pending->policy);
    lane.waiting.push(std::move(pending));
    ++m_size;
}

auto RankQueue::pop(Core::Rank lowest, Core::Instant now) -> PendingPointer
{
    auto* lane = nextLane(lowest);
    if (lane == nullptr)
        return nullptr;
    charge(*lane, now);
    --m_size;
    return lane->waiting.pop();
}

auto RankQueue::popExpired(Core::Instant now) -> std::vector<PendingPointer>
{
    std::vector<PendingPointer> expired;
    for (auto& [service, lane] : m_lanes) {
        auto fromLane = lane.waiting.popExpired(now);
        m_size -= fromLane.size();
        std::move(fromLane.begin(), fromLane.end(), std::back_inserter(expired));
    }
    return expired;
}

auto RankQueue::predictedWait(const PendingRequest& pending, std::uint32_t slots, Core::Instant now) -> Core::Duration
{
    const auto& lane = laneFor(pending.policy);
    const auto ahead = static_cast<double>(lane.waiting.aheadOf(pending.request.caller));
    return duration(ahead * costOf(lane) / slotsFor(lane, slots, now));
}

auto RankQueue::recordServiceTime(const Core::ServiceId& service, Core::Duration time) -> void
{
    const auto found = m_lanes.find(service);
    if (found == m_lanes.end())
        return;
    auto& lane = found->second;
    if (lane.meanMicros > 0)
        lane.deviationMicros = blend(lane.deviationMicros, std::abs(micros(time) - lane.meanMicros));
    lane.meanMicros = blend(lane.meanMicros, micros(time));
}

auto RankQueue::longestServiceTime(const Core::ServiceId& service) const -> Core::Duration
{
    const auto found = m_lanes.find(service);
    if (found == m_lanes.end())
        return Core::Duration::zero();
    return duration(found->second.meanMicros + deviationsToLongest * found->second.deviationMicros);
}

auto RankQueue::meanServiceTime(const Core::ServiceId& service) const -> Core::Duration
{
    const auto found = m_lanes.find(service);
    return found == m_lanes.end() ? Core::Duration::zero() : duration(found->second.meanMicros);
}

auto RankQueue::earliestDeadline() const -> std::optional<Core::Instant>
{
    std::optional<Core::Instant> earliest;
    for (const auto& [service, lane] : m_lanes) {
        const auto deadline = lane.waiting.earliestDeadline();
        if (deadline && (!earliest || *deadline < *earliest))
            earliest = deadline;
    }
    return earliest;
}

auto RankQueue::forEachService(const std::function<void(const Core::ServiceId&, std::size_t waiting)>& visitor) const
    -> void
{
    for (const auto& [service, lane] : m_lanes)
        visitor(service, lane.waiting.size());
}

auto RankQueue::laneFor(const Configuration::ServicePolicy& policy) -> Lane&
{
    auto& lane = m_lanes[policy.service];
    lane.policy = policy;
    return lane;
}

auto RankQueue::evictFor(const PendingRequest& pending) -> PendingPointer
{
    auto& own = laneFor(pending.policy);
    Lane* victim = nullptr;
    for (auto& [service, lane] : m_lanes) {
        const auto kept = lane.policy.floor.value() * static_cast<double>(m_limit);
        if (&lane == &own || static_cast<double>(lane.waiting.size()) <= kept
            || !yieldsBefore(lane.policy, pending.policy))
            continue;
        if (victim == nullptr || yieldsBefore(lane.policy, victim->policy))
            victim = &lane;
    }
    if (victim == nullptr && own.waiting.longestCaller() > own.waiting.waitingOf(pending.request.caller) + 1)
        victim = &own;
    if (victim == nullptr)
        return nullptr;
    --m_size;
    return victim->waiting.popFromLongestCaller();
}

auto RankQueue::nextLane(Core::Rank lowest) -> Lane*
{
    Lane* owed = nullptr;
    Lane* best = nullptr;
    for (auto& [service, lane] : m_lanes) {
        if (lane.waiting.isEmpty())
            continue;
        if (lane.owedMicros >= costOf(lane) && (owed == nullptr || lane.owedMicros > owed->owedMicros))
            owed = &lane;
        if (lane.policy.rank > lowest)
            continue;
        const bool isBetter = best == nullptr || lane.policy.rank < best->policy.rank
            || (lane.policy.rank == best->policy.rank && lane.used < best->used);
        if (isBetter)
            best = &lane;
    }
    return owed != nullptr ? owed : best;
}

auto RankQueue::charge(Lane& lane, Core::Instant now) -> void
{
    const auto cost = costOf(lane);
    double leastUsed = lane.used;
    for (auto& [service, other] : m_lanes) {
        const auto bound = owedRequests * costOf(other);
        other.owedMicros = std::min(bound, other.owedMicros + other.policy.floor.value() * cost);
        if (!other.waiting.isEmpty() && other.policy.rank == lane.policy.rank)
            leastUsed = std::min(leastUsed, other.used);
    }
    lane.owedMicros = std::max(0.0, lane.owedMicros - cost);
    lane.used += cost / lane.policy.worth;
    // A service that was idle does not claim the time that it left unused.
    for (auto& [service, other] : m_lanes) {
        if (other.waiting.isEmpty() && other.policy.rank == lane.policy.rank)
            other.used = std::max(other.used, leastUsed);
    }
    lane.started.add(duration(cost), now);
}

auto RankQueue::costOf(const Lane& lane) const -> double
{
    return lane.meanMicros > 0 ? lane.meanMicros : assumedCostMicros;
}

auto RankQueue::slotsFor(const Lane& lane, std::uint32_t slots, Core::Instant now) const -> double
{
    double left = slots;
    double worthOfRank = lane.policy.worth;
    for (const auto& [service, other] : m_lanes) {
        if (&other == &lane)
            continue;
        if (other.policy.rank < lane.policy.rank)
            left -= other.started.slots(now);
        else if (!other.waiting.isEmpty())
            left -= other.policy.floor.value() * slots;
        if (other.policy.rank == lane.policy.rank && !other.waiting.isEmpty())
            worthOfRank += other.policy.worth;
    }
    const auto guaranteed = std::max(smallestShare, lane.policy.floor.value()) * std::max(1U, slots);
    return std::max(guaranteed, left * lane.policy.worth / worthOfRank);
}

} // namespace Dispatch
