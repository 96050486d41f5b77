#include "dispatch/rankqueue.h"

#include <algorithm>
#include <cmath>

namespace Dispatch {

namespace {

    /// Weight of the newest sample in exponentially weighted averages.
    constexpr double sampleWeight = 0.1;
    /// Number of mean deviations above the mean that nearly all service times stay below.
    constexpr double pessimisticDeviations = 2;
    /// Maximum deficit of a floor, in requests of average slot time.
    constexpr double maximumDeficitRequests = 4;
    /// Minimum share of the slots that a service is assumed to get.
    constexpr double minimumShare = 0.02;
    /// Slot time charged for a request before the first answer of its service.
    constexpr double assumedCostMicros = 10'000;

    auto updatedAverage(double mean, double sample) -> double
    {
        return mean == 0 ? sample : mean + sampleWeight * (sample - mean);
    }

    auto micros(Core::Duration duration) -> double { return static_cast<double>(duration.count()); }

    auto duration(double micros) -> Core::Duration { return Core::Duration(static_cast<Core::Duration::rep>(micros)); }

    /// Returns true if requests of the left service are evicted before those of the right one.
    auto isEvictedBefore(const Configuration::ServicePolicy& left, const Configuration::ServicePolicy& right) -> bool
    {
        return left.rank != right.rank ? left.rank > right.rank : left.worth < right.worth;
    }

} // namespace

RankQueue::RankQueue(std::size_t limit)
    : m_limit(limit)
{
}

auto RankQueue::addService(const Configuration::ServicePolicy& policy) -> void { serviceQueueFor(policy); }

auto RankQueue::offer(PendingPointer pending) -> OfferResult
{
    OfferResult result;
    if (m_size >= m_limit) {
        result.evicted = evictFor(*pending);
        if (!result.evicted)
            return result;
    }
    requeue(std::move(pending));
    result.isAccepted = true;
    return result;
}

auto RankQueue::requeue(PendingPointer pending) -> void
{
    auto& queue = serviceQueueFor(pending->policy);
    queue.waiting.push(std::move(pending));
    ++m_size;
}

auto RankQueue::pop(Core::Rank lowestRank, Core::Instant now) -> PendingPointer
{
    auto* queue = nextServiceQueue(lowestRank);
    if (queue == nullptr)
        return nullptr;
    charge(*queue, now);
    --m_size;
    return queue->waiting.pop();
}

auto RankQueue::popExpired(Core::Instant now) -> std::vector<PendingPointer>
{
    std::vector<PendingPointer> expired;
    for (auto& [service, queue] : m_serviceQueues) {
        auto fromQueue = queue.waiting.popExpired(now);
        m_size -= fromQueue.size();
        std::move(fromQueue.begin(), fromQueue.end(), std::back_inserter(expired));
    }
    return expired;
}

auto RankQueue::predictedWait(const PendingRequest& pending, std::uint32_t slots, Core::Instant now) -> Core::Duration
{
    const auto& queue = serviceQueueFor(pending.policy);
    const auto ahead = static_cast<double>(queue.waiting.requestsAhead(pending.request.caller));
    return duration(ahead * costOf(queue) / slotsFor(queue, slots, now));
}

auto RankQueue::recordServiceTime(const Core::ServiceId& service, Core::Duration time) -> void
{
    const auto found = m_serviceQueues.find(service);
    if (found == m_serviceQueues.end())
        return;
    auto& queue = found->second;
    if (queue.meanMicros > 0)
        queue.deviationMicros = updatedAverage(queue.deviationMicros, std::abs(micros(time) - queue.meanMicros));
    queue.meanMicros = updatedAverage(queue.meanMicros, micros(time));
}

auto RankQueue::pessimisticServiceTime(const Core::ServiceId& service) const -> Core::Duration
{
    const auto found = m_serviceQueues.find(service);
    if (found == m_serviceQueues.end())
        return Core::Duration::zero();
    return duration(found->second.meanMicros + pessimisticDeviations * found->second.deviationMicros);
}

auto RankQueue::meanServiceTime(const Core::ServiceId& service) const -> Core::Duration
{
    const auto found = m_serviceQueues.find(service);
    return found == m_serviceQueues.end() ? Core::Duration::zero() : duration(found->second.meanMicros);
}

auto RankQueue::earliestDeadline() const -> std::optional<Core::Instant>
{
    std::optional<Core::Instant> earliest;
    for (const auto& [service, queue] : m_serviceQueues) {
        const auto deadline = queue.waiting.earliestDeadline();
        if (deadline && (!earliest || *deadline < *earliest))
            earliest = deadline;
    }
    return earliest;
}

auto RankQueue::forEachService(const std::function<void(const Core::ServiceId&, std::size_t waiting)>& visitor) const
    -> void
{
    for (const auto& [service, queue] : m_serviceQueues)
        visitor(service, queue.waiting.size());
}

auto RankQueue::serviceQueueFor(const Configuration::ServicePolicy& policy) -> ServiceQueue&
{
    auto& queue = m_serviceQueues[policy.service];
    queue.policy = policy;
    return queue;
}

auto RankQueue::evictFor(const PendingRequest& pending) -> PendingPointer
{
    auto& own = serviceQueueFor(pending.policy);
    ServiceQueue* victim = nullptr;
    for (auto& [service, queue] : m_serviceQueues) {
        const auto floorPlaces = queue.policy.floor.value() * static_cast<double>(m_limit);
        if (&queue == &own || static_cast<double>(queue.waiting.size()) <= floorPlaces
            || !isEvictedBefore(queue.policy, pending.policy))
            continue;
        if (victim == nullptr || isEvictedBefore(queue.policy, victim->policy))
            victim = &queue;
    }
    if (victim == nullptr && own.waiting.longestQueueLength() > own.waiting.waitingCount(pending.request.caller) + 1)
        victim = &own;
    if (victim == nullptr)
        return nullptr;
    --m_size;
    return victim->waiting.popFromLongestQueue();
}

auto RankQueue::nextServiceQueue(Core::Rank lowestRank) -> ServiceQueue*
{
    ServiceQueue* mostInDeficit = nullptr;
    ServiceQueue* best = nullptr;
    for (auto& [service, queue] : m_serviceQueues) {
        if (queue.waiting.isEmpty())
            continue;
        if (queue.deficitMicros >= costOf(queue)
            && (mostInDeficit == nullptr || queue.deficitMicros > mostInDeficit->deficitMicros))
            mostInDeficit = &queue;
        if (queue.policy.rank > lowestRank)
            continue;
        const bool isBetter = best == nullptr || queue.policy.rank < best->policy.rank
            || (queue.policy.rank == best->policy.rank && queue.weightedUsage < best->weightedUsage);
        if (isBetter)
            best = &queue;
    }
    return mostInDeficit != nullptr ? mostInDeficit : best;
}

auto RankQueue::charge(ServiceQueue& queue, Core::Instant now) -> void
{
    const auto cost = costOf(queue);
    double leastWeightedUsage = queue.weightedUsage;
    for (auto& [service, other] : m_serviceQueues) {
        const auto bound = maximumDeficitRequests * costOf(other);
        other.deficitMicros = std::min(bound, other.deficitMicros + other.policy.floor.value() * cost);
        if (!other.waiting.isEmpty() && other.policy.rank == queue.policy.rank)
            leastWeightedUsage = std::min(leastWeightedUsage, other.weightedUsage);
    }
    queue.deficitMicros = std::max(0.0, queue.deficitMicros - cost);
    queue.weightedUsage += cost / queue.policy.worth;
    // An idle service accumulates no claim to the slot time that it did not use.
    for (auto& [service, other] : m_serviceQueues) {
        if (other.waiting.isEmpty() && other.policy.rank == queue.policy.rank)
            other.weightedUsage = std::max(other.weightedUsage, leastWeightedUsage);
    }
    queue.recentSlotTime.add(duration(cost), now);
}

auto RankQueue::costOf(const ServiceQueue& queue) const -> double
{
    return queue.meanMicros > 0 ? queue.meanMicros : assumedCostMicros;
}

auto RankQueue::slotsFor(const ServiceQueue& queue, std::uint32_t slots, Core::Instant now) const -> double
{
    double remaining = slots;
    double worthOfRank = queue.policy.worth;
    for (const auto& [service, other] : m_serviceQueues) {
        if (&other == &queue)
            continue;
        if (other.policy.rank < queue.policy.rank)
            remaining -= other.recentSlotTime.slots(now);
        else if (!other.waiting.isEmpty())
            remaining -= other.policy.floor.value() * slots;
        if (other.policy.rank == queue.policy.rank && !other.waiting.isEmpty())
            worthOfRank += other.policy.worth;
    }
    const auto guaranteed = std::max(minimumShare, queue.policy.floor.value()) * std::max(1U, slots);
    return std::max(guaranteed, remaining * queue.policy.worth / worthOfRank);
}

} // namespace Dispatch
