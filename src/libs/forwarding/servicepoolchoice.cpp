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
        return homes == nullptr || homes->empty() || std::find(homes->begin(), homes->end(), region) != homes->end();
    }

    auto wasTried(const ChoiceQuery& query, const Core::UpstreamId& id) -> bool
    {
        return query.tried != nullptr && std::find(query.tried->begin(), query.tried->end(), id) != query.tried->end();
    }

} // namespace

auto ServicePool::mayServe(const UpstreamState& state, const ChoiceQuery& query, Core::Instant now) const -> bool
{
    const auto& entry = state.entry();
    if (!state.isUsable(now) || m_evacuated.contains(entry.failureDomain))
        return false;
    if (!contains(query.homes, entry.region) || wasTried(query, entry.target.id))
        return false;
    if (state.isCold(now) && (!state.hasColdAllowance(now) || !m_environment.entryVms.isOwner(entry)))
        return false;
    if (state.isBusy() && isDoubtful(state, now))
        return false;
    return !isSilent(state, now);
}

auto ServicePool::occupancy(const UpstreamState& state, Core::Instant now) const -> double
{
    return state.occupancy(m_othersPerSlot * state.slots(), now);
}

auto ServicePool::candidatesFor(const ChoiceQuery& query, Core::Instant now) -> Candidates
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
            candidate.familiarity = state.remembers(query.object) ? Familiarity::Warm : Familiarity::Cold;
        predict(candidate, now);
        candidates.push_back(candidate);
    }
    return candidates;
}

auto ServicePool::belongsHere(const Candidates& candidates, const ObjectKey& object) const -> bool
{
    double localSlots = 0;
    double allSlots = 0;
    std::set<Core::RegionId> regions;
    for (const auto& candidate : candidates) {
        const auto& entry = candidate.state->entry();
        allSlots += entry.slots.value();
        if (entry.region == m_environment.place.region)
            localSlots += entry.slots.value();
        regions.insert(entry.region);
    }
    const double fairShare = allSlots / static_cast<double>(regions.size());
    return Fleet::rendezvousFraction(object.value()) < localSlots / fairShare;
}

auto ServicePool::arrangeByObject(Candidates& candidates, const ObjectKey& object) const -> std::size_t
{
    const auto& settings = m_environment.settings;
    const bool isLocalFirst = belongsHere(candidates, object);
    const auto isLocal
        = [this](const Candidate& candidate) { return candidate.state->entry().region == m_environment.place.region; };
    std::sort(candidates.begin(), candidates.end(), [&](const Candidate& a, const Candidate& b) {
        if (isLocal(a) != isLocal(b))
            return isLocal(a) == isLocalFirst;
        return a.score > b.score;
    });
    // All entry VMs of the region bring the object to the first of its order before any other.
    if (!candidates.empty())
        candidates.front().familiarity = Familiarity::Warm;
    // One replica follows another in the same order in all entry VMs: else each would make one of its own. Only the
    // nearest failure domain goes first.
    std::size_t rank = 0;
    bool hasNear = false;
    bool hasNext = false;
    std::erase_if(candidates, [&](const Candidate& candidate) {
        const bool isNear = candidate.state->entry().failureDomain == m_environment.place.failureDomain;
        const bool isNearest = isNear && !std::exchange(hasNear, hasNear || isNear);
        const bool isInOrder = rank++ < settings.replicas;
        if (candidate.familiarity == Familiarity::Warm)
            return false;
        if (isNearest)
            return false;
        return !isInOrder || std::exchange(hasNext, true);
    });
    std::sort(candidates.begin(), candidates.end(), [](const Candidate& a, const Candidate& b) {
        return std::tie(a.familiarity, a.cost) < std::tie(b.familiarity, b.cost);
    });
    return static_cast<std::size_t>(std::count_if(candidates.begin(), candidates.end(),
        [](const Candidate& candidate) { return candidate.familiarity == Familiarity::Warm; }));
}

auto ServicePool::considerReplica(
    Candidates& candidates, std::size_t known, const ChoiceQuery& query, Core::Instant now) -> void
{
    if (known == candidates.size())
        return;
    const auto& best = candidates.front();
    const auto alternative = candidates.begin() + static_cast<Candidates::difference_type>(known);
    const auto sharers = static_cast<double>(m_environment.entryVms.regionalCount());
    const auto price = scaled(m_workTime.cold() - m_workTime.warm(), m_environment.settings.replicaPrice / sharers);
    // A full upstream costs the request itself.
    const auto loss = hasRoom(best, query.priority, now) ? best.cost - alternative->cost : price;
    if (loss.count() <= 0 || !hasRoom(*alternative, query.priority, now))
        return;
    m_planner.addRegret(query.object, loss, now);
    if (m_planner.tryReplicate(query.object, price, now))
        std::rotate(candidates.begin(), alternative, alternative + 1);
}

auto ServicePool::hasRoom(const Candidate& candidate, int priority, Core::Instant now) const -> bool
{
    const double waitingPerSlot = m_room.mayWait(priority, now) ? m_environment.settings.waitingPerSlot : 0;
    return candidate.occupancy < candidate.state->slots() * (1 + waitingPerSlot);
}

auto ServicePool::waitAt(double occupancy, double slots) const -> Core::Duration
{
    // A free slot may be gone on arrival, the more likely the fewer there are.
    constexpr double freeSlotDoubt = 0.05;
    const double queued = std::max(0.0, occupancy - slots + 1);
    return scaled(m_workTime.warm(), queued / slots + freeSlotDoubt * std::min(1.0, occupancy / slots));
}

auto ServicePool::distanceCost(const UpstreamEntry& entry) const -> Core::Duration
{
    const auto& settings = m_environment.settings;
    if (entry.region != m_environment.place.region)
        return settings.regionBorderCost + settings.regionRoundTrip;
    if (entry.failureDomain != m_environment.place.failureDomain)
        return settings.domainBorderCost;
    return {};
}

auto ServicePool::predict(Candidate& candidate, Core::Instant now) const -> void
{
    const auto& state = *candidate.state;
    candidate.occupancy = occupancy(state, now);
    candidate.wait = waitAt(candidate.occupancy, state.slots());
    // What this entry VM does not know to be warm may have been warmed by another.
    candidate.work
        = candidate.familiarity == Familiarity::Plain ? m_workTime.mean(Familiarity::Plain) : m_workTime.warm();
    candidate.cost = candidate.wait + candidate.work + distanceCost(state.entry())
        + scaled(m_environment.settings.failureCost, state.failureShare());
}

auto ServicePool::choose(const ChoiceQuery& query, Core::Instant now) -> ChoiceResult
{
    const std::lock_guard lock(m_mutex);
    auto choice = chooseLocked(query, now);
    if (!choice || choice->predicted > query.targetLatency)
        m_room.noteShortage(query.priority, now);
    return choice;
}

auto ServicePool::chooseLocked(const ChoiceQuery& query, Core::Instant now) -> ChoiceResult
{
    m_workTime.assume(query.targetLatency);
    auto candidates = candidatesFor(query, now);
    if (candidates.empty())
        return tl::unexpected(NoChoice { NoChoiceReason::NoUpstream, 0, {} });
    if (query.object.value().empty()) {
        std::sort(candidates.begin(), candidates.end(), [](const Candidate& a, const Candidate& b) {
            return std::tie(a.cost, a.score) < std::tie(b.cost, b.score);
        });
    } else {
        const auto known = arrangeByObject(candidates, query.object);
        considerReplica(candidates, known, query, now);
    }
    auto leastWait = candidates.front().wait;
    for (const auto& candidate : candidates) {
        auto& state = *candidate.state;
        leastWait = std::min(leastWait, candidate.wait);
        if (!hasRoom(candidate, query.priority, now))
            continue;
        if (candidate.familiarity == Familiarity::Cold && &candidate != &candidates.front())
            continue;
        if (candidate.wait + candidate.work > query.timeLeft)
            return tl::unexpected(NoChoice { NoChoiceReason::DeadlineUnreachable, candidates.size(), leastWait });
        if (state.isCold(now))
            state.takeColdAllowance(m_settings.coldRate, now);
        if (isDoubtful(state, now))
            state.wantProbe();
        state.begin(now);
        return Choice { state.entry().target, state.entry().failureDomain, candidate.familiarity, candidate.occupancy,
            candidate.wait + candidate.work };
    }
    return tl::unexpected(NoChoice { NoChoiceReason::Busy, candidates.size(), leastWait });
}

auto ServicePool::isDoubtful(const UpstreamState& state, Core::Instant now) const -> bool
{
    return state.isDoubtful() || (m_isListStale && state.mayHaveRestarted(now));
}

} // namespace Forwarding
