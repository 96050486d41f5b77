#include "forwarding/servicepool.h"

#include "fleet/rendezvous.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace Forwarding {

namespace {

    auto scaled(Core::Duration duration, double factor) -> Core::Duration
    {
        return Core::Duration(static_cast<Core::Duration::rep>(static_cast<double>(duration.count()) * factor));
    }

    auto contains(const std::vector<Core::RegionId>* homes, const Core::RegionId& region) -> bool
    {
        return homes == nullptr || std::find(homes->begin(), homes->end(), region) != homes->end();
    }

    auto wasTried(const ChoiceQuery& query, const Core::UpstreamId& id) -> bool
    {
        return query.tried != nullptr && std::find(query.tried->begin(), query.tried->end(), id) != query.tried->end();
    }

} // namespace

auto toString(ChoiceFailureReason reason) -> std::string
{
    switch (reason) {
    case ChoiceFailureReason::NoUpstream:
        return "no-upstream";
    case ChoiceFailureReason::Busy:
        return "busy";
    case ChoiceFailureReason::DeadlineUnreachable:
        break;
    }
    return "deadline-unreachable";
}

auto ServicePool::mayServe(const UpstreamState& state, const ChoiceQuery& query, Core::Instant now) const -> bool
{
    const auto& entry = state.entry();
    if (!state.isUsable(now) || m_evacuated.contains(entry.failureDomain))
        return false;
    if (!contains(query.homes, entry.region) || wasTried(query, entry.target.id))
        return false;
    if (state.isCold(now) && (!state.hasColdAllowance(now) || !m_environment.entryVms.isOwner(entry)))
        return false;
    if (state.isBusy() && isUnverified(state, now))
        return false;
    return !state.isUnresponsive(now);
}

auto ServicePool::occupancy(const UpstreamState& state, Core::Instant now) const -> double
{
    return state.occupancy(m_othersLoad.perSlot(now) * state.slots(), now);
}

auto ServicePool::candidatesFor(const ChoiceQuery& query, const RouteServiceTime& routeTime, Core::Instant now)
    -> Candidates
{
    const bool hasObject = !query.object.value().empty();
    const auto& key = hasObject ? query.object.value() : query.request.value();
    Candidates candidates;
    for (auto& [target, state] : m_states) {
        if (!mayServe(state, query, now))
            continue;
        Candidate candidate;
        candidate.state = &state;
        candidate.score = Fleet::rendezvousScore(key, target.id.value());
        if (hasObject)
            candidate.cacheState = state.hasCached(query.object) ? CacheState::Warm : CacheState::Cold;
        predict(candidate, routeTime, now);
        candidates.push_back(candidate);
    }
    return candidates;
}

auto ServicePool::belongsToLocalRegion(const Candidates& candidates, const ObjectKey& object) const -> bool
{
    double localSlots = 0;
    double allSlots = 0;
    std::set<Core::RegionId> regions;
    for (const auto& candidate : candidates) {
        const auto& entry = candidate.state->entry();
        allSlots += entry.slots.value();
        if (entry.region == m_environment.location.region)
            localSlots += entry.slots.value();
        regions.insert(entry.region);
    }
    const double fairShare = allSlots / static_cast<double>(regions.size());
    return Fleet::rendezvousFraction(object.value()) < localSlots / fairShare;
}

auto ServicePool::orderByAffinity(Candidates& candidates, const ObjectKey& object) const -> std::size_t
{
    const auto& settings = m_environment.settings;
    const bool isLocalFirst = belongsToLocalRegion(candidates, object);
    const auto isLocal = [this](const Candidate& candidate) {
        return candidate.state->entry().region == m_environment.location.region;
    };
    std::sort(candidates.begin(), candidates.end(), [&](const Candidate& a, const Candidate& b) {
        if (isLocal(a) != isLocal(b))
            return isLocal(a) == isLocalFirst;
        return a.score > b.score;
    });
    // All entry VMs of the region send requests for the object to the first upstream in the object's order of
    // preference before any other.
    if (!candidates.empty())
        candidates.front().cacheState = CacheState::Warm;
    // All entry VMs add replicas in the same order; otherwise each would create a replica of its own. The only
    // exception is the first upstream in the entry VM's own failure domain, which is always allowed.
    std::size_t position = 0;
    bool hasNearest = false;
    bool hasNextReplica = false;
    std::erase_if(candidates, [&](const Candidate& candidate) {
        const bool isNear = candidate.state->entry().failureDomain == m_environment.location.failureDomain;
        const bool isNearest = isNear && !std::exchange(hasNearest, hasNearest || isNear);
        const bool isInOrder = position++ < settings.replicas;
        if (candidate.cacheState == CacheState::Warm)
            return false;
        if (isNearest)
            return false;
        return !isInOrder || std::exchange(hasNextReplica, true);
    });
    std::sort(candidates.begin(), candidates.end(), [](const Candidate& a, const Candidate& b) {
        return std::tie(a.cacheState, a.cost) < std::tie(b.cacheState, b.cost);
    });
    return static_cast<std::size_t>(std::count_if(candidates.begin(), candidates.end(),
        [](const Candidate& candidate) { return candidate.cacheState == CacheState::Warm; }));
}

auto ServicePool::considerReplica(
    Candidates& candidates, std::size_t warmCount, const ChoiceQuery& query, Core::Instant now) -> void
{
    if (warmCount == candidates.size())
        return;
    const auto& best = candidates.front();
    const auto alternative = candidates.begin() + static_cast<Candidates::difference_type>(warmCount);
    const auto entryVmCount = static_cast<double>(m_environment.entryVms.regionalCount());
    const auto replicaCost
        = scaled(m_serviceTime.cold() - m_serviceTime.warm(), m_environment.settings.replicaPrice / entryVmCount);
    // A full upstream would refuse the request, so the extra cost is that of a whole replica.
    const auto extraCost = hasCapacity(best, query.urgency, now) ? best.cost - alternative->cost : replicaCost;
    if (extraCost.count() <= 0 || !hasCapacity(*alternative, query.urgency, now))
        return;
    m_planner.addExtraCost(query.object, extraCost, now);
    if (m_planner.tryReplicate(query.object, replicaCost, now))
        std::rotate(candidates.begin(), alternative, alternative + 1);
}

auto ServicePool::hasCapacity(const Candidate& candidate, const Admission::Urgency& urgency, Core::Instant now) const
    -> bool
{
    return candidate.occupancy < candidate.state->slots() * (1 + waitingPerSlot(urgency, now));
}

auto ServicePool::waitingPerSlot(const Admission::Urgency& urgency, Core::Instant now) const -> double
{
    return std::min(
        m_environment.settings.waitingPerSlot, m_queueBound.waitingPerSlot(urgency, m_serviceTime.mixed(), now));
}

auto ServicePool::roomExpected(const Candidates& candidates, const Admission::Urgency& urgency, Core::Instant now) const
    -> Core::Duration
{
    constexpr Core::Millis shortest { 25 };
    constexpr Core::Millis longest { 800 };
    const auto& first = candidates.front();
    // A slot becomes free each time that one of as many requests as there are slots ends.
    const double slots = first.state->slots();
    const double excess = std::max(0.0, first.occupancy - slots * (1 + waitingPerSlot(urgency, now))) + 1;
    const auto departure = scaled(m_serviceTime.mixed(), excess / slots);
    Core::Duration wait = shortest;
    for (; wait < std::min<Core::Duration>(longest, departure); wait *= 2) {
        auto candidate = first;
        candidate.occupancy = occupancy(*candidate.state, now + wait);
        if (hasCapacity(candidate, urgency, now + wait))
            break;
    }
    return std::max<Core::Duration>(shortest, std::min(wait, departure));
}

auto ServicePool::waitAt(double occupancy, double slots) const -> Core::Duration
{
    // A free slot may be occupied before the request arrives; the fewer free slots there are, the more likely this is.
    constexpr double slotContentionFactor = 0.05;
    const double queued = std::max(0.0, occupancy - slots + 1);
    return scaled(m_serviceTime.warm(), queued / slots + slotContentionFactor * std::min(1.0, occupancy / slots));
}

auto ServicePool::distanceCost(const UpstreamEntry& entry) const -> Core::Duration
{
    const auto& settings = m_environment.settings;
    if (entry.region != m_environment.location.region)
        return settings.regionBorderCost + settings.regionRoundTrip;
    if (entry.failureDomain != m_environment.location.failureDomain)
        return settings.domainBorderCost;
    return {};
}

auto ServicePool::predict(Candidate& candidate, const RouteServiceTime& routeTime, Core::Instant now) const -> void
{
    const auto& state = *candidate.state;
    candidate.occupancy = occupancy(state, now);
    const double workTimeFactor = state.workTimeFactor(now);
    candidate.wait = scaled(waitAt(candidate.occupancy, state.slots()), workTimeFactor);
    // Uses the warm service time even for a cold object, because another entry VM may have warmed the cache.
    const auto assumedState = candidate.cacheState == CacheState::NoObject ? CacheState::NoObject : CacheState::Warm;
    candidate.serviceTime = scaled(routeTime.mean(assumedState), workTimeFactor);
    candidate.cost = candidate.wait + candidate.serviceTime + distanceCost(state.entry())
        + scaled(m_environment.settings.failureCost, state.failureShare());
}

auto ServicePool::choose(const ChoiceQuery& query, Core::Instant now) -> ChoiceResult
{
    const std::lock_guard lock(m_mutex);
    auto choice = chooseLocked(query, now);
    if (!query.isHedge && (!choice || choice->predicted > query.targetLatency))
        m_queueBound.recordShortage(query.urgency, now);
    return choice;
}

auto ServicePool::chooseLocked(const ChoiceQuery& query, Core::Instant now) -> ChoiceResult
{
    m_serviceTime.setInitialEstimate(query.targetLatency);
    auto& routeTime = m_routeTimes.at(query.route, query.targetLatency, now);
    const auto cacheState = query.object.value().empty() ? CacheState::NoObject : CacheState::Warm;
    m_queueBound.record(query.urgency, query.targetLatency, routeTime.mean(cacheState), now);
    auto candidates = candidatesFor(query, routeTime, now);
    if (candidates.empty())
        return tl::unexpected(ChoiceFailure {
            ChoiceFailureReason::NoUpstream, 0, shortestPause(query, now), {}, firstUsable(query, now) });
    if (query.object.value().empty()) {
        std::sort(candidates.begin(), candidates.end(), [](const Candidate& a, const Candidate& b) {
            return std::tie(a.cost, a.score) < std::tie(b.cost, b.score);
        });
    } else {
        const auto warmCount = orderByAffinity(candidates, query.object);
        considerReplica(candidates, warmCount, query, now);
    }
    auto minimumWait = candidates.front().wait;
    for (const auto& candidate : candidates) {
        auto& state = *candidate.state;
        minimumWait = std::min(minimumWait, candidate.wait);
        if (!hasCapacity(candidate, query.urgency, now))
            continue;
        if (candidate.cacheState == CacheState::Cold && &candidate != &candidates.front())
            continue;
        if (!fits(candidate, query, routeTime, now))
            return tl::unexpected(ChoiceFailure {
                ChoiceFailureReason::DeadlineUnreachable, candidates.size(), minimumWait, candidate.serviceTime, {} });
        if (state.isCold(now))
            state.takeColdAllowance(m_settings.coldRate, now);
        if (isUnverified(state, now))
            state.requestProbe();
        const OpenExchange exchange { now, routeTime.responseTimeLimit() };
        state.beginExchange(exchange);
        return Choice { state.entry().target, state.entry().failureDomain, candidate.cacheState, candidate.occupancy,
            candidate.wait + candidate.serviceTime, candidate.serviceTime, exchange };
    }
    return tl::unexpected(ChoiceFailure { ChoiceFailureReason::Busy, candidates.size(), minimumWait,
        candidates.front().serviceTime, roomExpected(candidates, query.urgency, now) });
}

auto ServicePool::fits(
    const Candidate& candidate, const ChoiceQuery& query, RouteServiceTime& routeTime, Core::Instant now) -> bool
{
    if (candidate.wait + candidate.serviceTime <= query.timeLeft)
        return true;
    return candidate.wait < query.timeLeft && !query.isHedge && routeTime.tryTrial(now);
}

auto ServicePool::shortestPause(const ChoiceQuery& query, Core::Instant now) const -> Core::Duration
{
    std::optional<Core::Instant> first;
    for (const auto& [target, state] : m_states) {
        const bool isCandidate = !state.isLeaving() && !m_evacuated.contains(state.entry().failureDomain)
            && contains(query.homes, state.entry().region);
        if (isCandidate && state.isPaused(now) && (!first || state.pausedUntil() < *first))
            first = state.pausedUntil();
    }
    return first ? *first - now : Core::Duration(0);
}

auto ServicePool::firstUsable(const ChoiceQuery& query, Core::Instant now) const -> Core::Duration
{
    std::optional<Core::Instant> first;
    for (const auto& [target, state] : m_states) {
        const bool isCandidate = !state.isLeaving() && !m_evacuated.contains(state.entry().failureDomain)
            && contains(query.homes, state.entry().region);
        if (isCandidate && state.usableFrom() > now && (!first || state.usableFrom() < *first))
            first = state.usableFrom();
    }
    return first ? *first - now : Core::Duration(0);
}

auto ServicePool::isUnverified(const UpstreamState& state, Core::Instant now) const -> bool
{
    return state.isUnverified() || (m_isListStale && state.mayHaveRestarted(now));
}

} // namespace Forwarding
