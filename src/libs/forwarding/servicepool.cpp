#include "forwarding/servicepool.h"

#include "fleet/rendezvous.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace Forwarding {

namespace {

    using Ports::ExchangeOutcome;

    /// An upstream that has answered nothing for so many times its usual work is taken to be silent.
    constexpr int silentWorkTimes = 2;
    constexpr Core::Millis leastSilence { 700 };
    /// Share of the newest report in the mean load of others.
    constexpr double newestLoadShare = 0.1;

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

    auto healthOf(const ExchangeReport& report) -> std::optional<UpstreamState::Health>
    {
        using Health = UpstreamState::Health;
        switch (report.outcome) {
        case ExchangeOutcome::Answered:
            return report.isUpstreamError ? Health::Refusing : Health::Good;
        case ExchangeOutcome::NotRun:
            return Health::Refusing;
        case ExchangeOutcome::Misdirected:
        case ExchangeOutcome::NotSent:
        case ExchangeOutcome::TimedOut:
        case ExchangeOutcome::Invalid:
            return Health::Bad;
        case ExchangeOutcome::Lost:
            // A kept connection may just have been closed for its age.
            return report.reusedConnection ? Health::Refusing : Health::Bad;
        case ExchangeOutcome::Cancelled:
            break;
        }
        return std::nullopt;
    }

} // namespace

ServicePool::ServicePool(Core::ServiceId service, Environment environment)
    : m_service(std::move(service))
    , m_environment(std::move(environment))
{
}

auto ServicePool::update(
    const std::vector<UpstreamEntry>& entries, const EvacuatedDomains& evacuated, Core::Instant now) -> void
{
    const std::lock_guard lock(m_mutex);
    for (auto& [target, state] : m_states)
        state.leave();
    for (const auto& entry : entries) {
        const auto [found, isFirst] = m_states.try_emplace(entry.target, entry);
        found->second.update(entry);
        if (isFirst && entry.mayBeOutdated)
            found->second.doubt();
    }
    std::erase_if(m_states, [](const auto& item) { return item.second.isForgettable(); });
    for (auto& [target, state] : m_states) {
        const auto& domain = state.entry().failureDomain;
        if (m_evacuated.contains(domain) && !evacuated.contains(domain))
            state.requireProbe(now);
    }
    m_evacuated = evacuated;
}

auto ServicePool::setSettings(const ServiceSettings& settings) -> void
{
    const std::lock_guard lock(m_mutex);
    m_settings = settings;
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
    if (state.isBusy() && isDoubtful(state, now))
        return false;
    return !isSilent(state, now);
}

auto ServicePool::silenceLimitLocked() const -> Core::Duration
{
    return std::max<Core::Duration>(leastSilence, m_workTime.cold() * silentWorkTimes);
}

auto ServicePool::isSilent(const UpstreamState& state, Core::Instant now) const -> bool
{
    const auto silentSince = state.silentSince();
    return silentSince && now - *silentSince >= silenceLimitLocked();
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

auto ServicePool::considerReplica(Candidates& candidates, std::size_t known, const ObjectKey& object, Core::Instant now)
    -> void
{
    if (known == candidates.size())
        return;
    const auto& best = candidates.front();
    const auto alternative = candidates.begin() + static_cast<Candidates::difference_type>(known);
    const auto sharers = static_cast<double>(m_environment.entryVms.regionalCount());
    const auto price = scaled(m_workTime.cold() - m_workTime.warm(), m_environment.settings.replicaPrice / sharers);
    // A full upstream costs the request itself.
    const auto loss = hasRoom(best) ? best.cost - alternative->cost : price;
    if (loss.count() <= 0 || !hasRoom(*alternative))
        return;
    m_planner.addRegret(object, loss, now);
    if (m_planner.tryReplicate(object, price, now))
        std::rotate(candidates.begin(), alternative, alternative + 1);
}

auto ServicePool::hasRoom(const Candidate& candidate) const -> bool
{
    return candidate.occupancy < candidate.state->slots() * (1 + m_environment.settings.waitingPerSlot);
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
        considerReplica(candidates, known, query.object, now);
    }
    auto leastWait = candidates.front().wait;
    for (const auto& candidate : candidates) {
        auto& state = *candidate.state;
        leastWait = std::min(leastWait, candidate.wait);
        if (!hasRoom(candidate))
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

auto ServicePool::stateOf(const Ports::UpstreamTarget& target) -> UpstreamState*
{
    const auto found = m_states.find(target);
    return found == m_states.end() ? nullptr : &found->second;
}

auto ServicePool::end(const ExchangeReport& report, Core::Instant now) -> void
{
    const std::lock_guard lock(m_mutex);
    auto* state = stateOf(report.target);
    if (state == nullptr)
        return;
    state->end(report.load, now);
    if (report.load)
        m_othersPerSlot += newestLoadShare * (state->othersLoad() / state->slots() - m_othersPerSlot);
    if (const auto health = healthOf(report))
        state->recordHealth(*health, now);
    if (report.outcome == ExchangeOutcome::Misdirected)
        state->eject(now);
    if (report.outcome == ExchangeOutcome::Lost || report.outcome == ExchangeOutcome::NotSent)
        checkAfterLoss(*state);
    if (report.outcome == ExchangeOutcome::Answered && !report.isUpstreamError) {
        m_workTime.record(report.duration, report.familiarity);
        if (!report.object.value().empty())
            state->remember(report.object, now);
    }
    if (state->isForgettable())
        m_states.erase(report.target);
}

auto ServicePool::isDoubtful(const UpstreamState& state, Core::Instant now) const -> bool
{
    return state.isDoubtful() || (m_isListStale && state.mayHaveRestarted(now));
}

auto ServicePool::checkAfterLoss(UpstreamState& state) const -> void
{
    // The list tells of a new start soon; a stale one does not, and the upstream may be cold.
    if (m_isListStale)
        state.doubt();
    else
        state.wantProbe();
}

auto ServicePool::takeDueProbes(Core::Instant now) -> std::vector<Ports::UpstreamTarget>
{
    const std::lock_guard lock(m_mutex);
    std::vector<Ports::UpstreamTarget> due;
    for (auto& [target, state] : m_states) {
        if (!state.isProbeDue(now) || m_evacuated.contains(state.entry().failureDomain))
            continue;
        state.beginProbe(now);
        due.push_back(target);
    }
    return due;
}

auto ServicePool::recordProbe(
    const Ports::UpstreamTarget& target, const Core::Result<Ports::HealthReport>& report, Core::Instant now) -> bool
{
    const std::lock_guard lock(m_mutex);
    auto* state = stateOf(target);
    return state != nullptr && state->recordProbe(report, now);
}

auto ServicePool::learn(const UpstreamNotice& notice, Core::Instant now) -> void
{
    const std::lock_guard lock(m_mutex);
    for (auto& [target, state] : m_states) {
        if (target.id == notice.upstream)
            state.learn(notice.isHealthy, notice.coldLeft, now);
    }
}

auto ServicePool::setListStale(bool isStale) -> void
{
    const std::lock_guard lock(m_mutex);
    m_isListStale = isStale;
}

auto ServicePool::recordEndedConnection(const Ports::UpstreamTarget& target) -> void
{
    const std::lock_guard lock(m_mutex);
    if (auto* state = stateOf(target))
        state->doubt();
}

auto ServicePool::doubtAll() -> void
{
    const std::lock_guard lock(m_mutex);
    for (auto& [target, state] : m_states)
        state.doubt();
}

auto ServicePool::healthPath() const -> std::string
{
    const std::lock_guard lock(m_mutex);
    return m_settings.healthPath;
}

auto ServicePool::isSilent(const Ports::UpstreamTarget& target, Core::Instant now) -> bool
{
    const std::lock_guard lock(m_mutex);
    const auto* state = stateOf(target);
    return state != nullptr && isSilent(*state, now);
}

auto ServicePool::silenceLimit() const -> Core::Duration
{
    const std::lock_guard lock(m_mutex);
    return silenceLimitLocked();
}

} // namespace Forwarding
