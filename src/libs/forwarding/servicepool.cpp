#include "forwarding/servicepool.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace Forwarding {

namespace {

    using Ports::ExchangeOutcome;

    constexpr auto earliestStart = std::numeric_limits<std::int64_t>::min();

    auto healthSignalOf(const ExchangeReport& report) -> std::optional<UpstreamState::HealthSignal>
    {
        using HealthSignal = UpstreamState::HealthSignal;
        switch (report.outcome) {
        case ExchangeOutcome::Answered:
            return report.isUpstreamError ? HealthSignal::Refusal : HealthSignal::Success;
        case ExchangeOutcome::NotRun:
            return HealthSignal::Refusal;
        case ExchangeOutcome::Misdirected:
        case ExchangeOutcome::NotSent:
        case ExchangeOutcome::TimedOut:
        case ExchangeOutcome::Invalid:
            return HealthSignal::Failure;
        case ExchangeOutcome::Lost:
            // The upstream may simply have closed an idle connection because of its age.
            return report.reusedConnection ? HealthSignal::Refusal : HealthSignal::Failure;
        case ExchangeOutcome::OwnShortage:
        case ExchangeOutcome::Withdrawn:
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
        state.markUnlisted();
    for (const auto& entry : entries) {
        const auto [found, isFirst] = m_states.try_emplace(entry.target, entry);
        found->second.update(entry);
        if (!isFirst)
            continue;
        if (entry.mayBeOutdated)
            found->second.markUnverified();
        for (auto earlier = firstIncarnation(entry.target.id); earlier != found; ++earlier)
            found->second.inheritSignals(earlier->second, now);
    }
    std::erase_if(m_states, [now](const auto& item) { return item.second.isRemovable(now); });
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

auto ServicePool::findState(const Ports::UpstreamTarget& target) -> UpstreamState*
{
    const auto found = m_states.find(target);
    return found == m_states.end() ? nullptr : &found->second;
}

auto ServicePool::endExchange(const ExchangeReport& report, Core::Instant now) -> Ports::UpstreamSignals
{
    const std::lock_guard lock(m_mutex);
    auto* state = findState(report.target);
    if (state == nullptr)
        return {};
    const auto news = applySignals(*state, report, now);
    if (report.isBodyEnd)
        state->endBody();
    else
        state->endExchange(report.exchange, report.load, now);
    if (report.outcome == ExchangeOutcome::Answered || report.outcome == ExchangeOutcome::NotRun)
        state->recordActivity(now);
    if (report.load)
        m_othersLoad.record(state->othersLoad() / state->slots(), now);
    if (const auto signal = healthSignalOf(report))
        state->recordHealthSignal(*signal, now);
    if (report.outcome == ExchangeOutcome::Misdirected)
        state->eject(now);
    if (report.outcome == ExchangeOutcome::Lost || report.outcome == ExchangeOutcome::NotSent)
        probeAfterConnectionLoss(*state);
    if (report.outcome == ExchangeOutcome::Answered && !report.isUpstreamError) {
        m_serviceTime.record(report.duration, report.cacheState);
        m_routeTimes.record(report.route, report.duration, report.cacheState, now);
        if (!report.object.value().empty())
            state->recordCachedObject(report.object, now);
    }
    if (state->isRemovable(now))
        m_states.erase(report.target);
    return news;
}

auto ServicePool::recordHead(const ExchangeReport& report, Core::Instant now) -> Ports::UpstreamSignals
{
    const std::lock_guard lock(m_mutex);
    auto* state = findState(report.target);
    if (state == nullptr)
        return {};
    const auto news = applySignals(*state, report, now);
    state->beginBody(report.exchange, report.load, now);
    state->recordActivity(now);
    if (report.load)
        m_othersLoad.record(state->othersLoad() / state->slots(), now);
    return news;
}

auto ServicePool::applySignals(UpstreamState& state, const ExchangeReport& report, Core::Instant now)
    -> Ports::UpstreamSignals
{
    const auto news = state.applySignals(report.signals, now);
    if (news.isLeaving || report.signals.pause.count() > 0)
        passSignalsOn(state, now);
    return news;
}

auto ServicePool::passSignalsOn(const UpstreamState& state, Core::Instant now) -> void
{
    const auto& target = state.entry().target;
    for (auto later = m_states.upper_bound(target); later != m_states.end() && later->first.id == target.id; ++later)
        later->second.inheritSignals(state, now);
}

auto ServicePool::probeAfterConnectionLoss(UpstreamState& state) const -> void
{
    // A current list soon reports a restart. A stale list does not, and the upstream may be cold.
    if (m_isListStale)
        state.markUnverified();
    state.requestProbe();
}

auto ServicePool::takeDueProbes(Core::Instant now, std::size_t limit) -> std::vector<Ports::UpstreamTarget>
{
    const std::lock_guard lock(m_mutex);
    std::vector<Ports::UpstreamTarget> targets;
    if (m_settings.healthPath.empty())
        return targets;
    std::vector<UpstreamState*> due;
    for (auto& [target, state] : m_states) {
        if (state.isProbeDue(now) && !m_evacuated.contains(state.entry().failureDomain))
            due.push_back(&state);
    }
    std::stable_sort(due.begin(), due.end(), [](const UpstreamState* a, const UpstreamState* b) {
        if (a->isProbeUrgent() != b->isProbeUrgent())
            return a->isProbeUrgent();
        return a->probeAt() < b->probeAt();
    });
    due.resize(std::min(due.size(), limit));
    for (auto* state : due) {
        state->beginProbe(now);
        targets.push_back(state->entry().target);
    }
    return targets;
}

auto ServicePool::recordProbe(
    const Ports::UpstreamTarget& target, const Core::Result<Ports::HealthReport>& report, Core::Instant now) -> bool
{
    const std::lock_guard lock(m_mutex);
    auto* state = findState(target);
    return state != nullptr && state->recordProbe(report, now);
}

auto ServicePool::applyNotice(const UpstreamNotice& notice, Core::Instant now) -> bool
{
    const std::lock_guard lock(m_mutex);
    bool isNews = false;
    for (auto state = firstIncarnation(notice.upstream); state != m_states.end() && state->first.id == notice.upstream;
         ++state)
        isNews |= state->second.applyNotice(notice.isHealthy, notice.coldRemaining, now);
    return isNews;
}

auto ServicePool::firstIncarnation(const Core::UpstreamId& id) -> States::iterator
{
    // Incarnations of the same upstream are adjacent.
    return m_states.lower_bound({ id, Core::ProcessStartId(earliestStart), {} });
}

auto ServicePool::setListStale(bool isStale) -> void
{
    const std::lock_guard lock(m_mutex);
    m_isListStale = isStale;
}

auto ServicePool::recordClosedConnection(const Ports::UpstreamTarget& target) -> void
{
    const std::lock_guard lock(m_mutex);
    if (auto* state = findState(target)) {
        state->markUnverified();
        state->requestProbe();
    }
}

auto ServicePool::markAllUnverified() -> void
{
    const std::lock_guard lock(m_mutex);
    for (auto& [target, state] : m_states)
        state.markUnverified();
}

auto ServicePool::healthPath() const -> std::string
{
    const std::lock_guard lock(m_mutex);
    return m_settings.healthPath;
}

auto ServicePool::isUnresponsive(const Ports::UpstreamTarget& target, Core::Instant now) -> bool
{
    const std::lock_guard lock(m_mutex);
    const auto* state = findState(target);
    return state != nullptr && state->isUnresponsive(now);
}

auto ServicePool::acceptsRequests(const Ports::UpstreamTarget& target, Core::Instant now) -> bool
{
    const std::lock_guard lock(m_mutex);
    const auto* state = findState(target);
    if (state == nullptr || state->isLeaving() || state->isPaused(now))
        return false;
    return !m_evacuated.contains(state->entry().failureDomain);
}

} // namespace Forwarding
