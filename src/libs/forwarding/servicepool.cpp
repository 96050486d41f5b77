#include "forwarding/servicepool.h"

#include <algorithm>
#include <utility>

namespace Forwarding {

namespace {

    using Ports::ExchangeOutcome;

    /// An upstream that has answered nothing for so many times its usual work is taken to be silent.
    constexpr int silentWorkTimes = 2;
    constexpr Core::Millis leastSilence { 700 };
    /// Share of the newest report in the mean load of others.
    constexpr double newestLoadShare = 0.1;

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

auto ServicePool::silenceLimitLocked() const -> Core::Duration
{
    return std::max<Core::Duration>(leastSilence, m_workTime.cold() * silentWorkTimes);
}

auto ServicePool::isSilent(const UpstreamState& state, Core::Instant now) const -> bool
{
    const auto silentSince = state.silentSince();
    return silentSince && now - *silentSince >= silenceLimitLocked();
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
    if (m_settings.healthPath.empty())
        return due;
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
