#include "forwarding/forwarder.h"

#include "core/invariant.h"
#include "forwarding/forwardoperation.h"

#include <algorithm>

namespace Forwarding {

namespace {

    auto entriesByService(const UpstreamEntries& entries) -> std::map<Core::ServiceId, std::vector<UpstreamEntry>>
    {
        std::map<Core::ServiceId, std::vector<UpstreamEntry>> services;
        for (const auto& [id, entry] : entries)
            services[entry.service].push_back(entry);
        return services;
    }

} // namespace

Forwarder::Forwarder(Environment environment)
    : m_environment(std::move(environment))
    , m_crashGuard({ m_environment.clock, m_environment.events, m_environment.exchanges })
    , m_contexts(std::make_shared<const detail::ServiceContexts>())
{
}

Forwarder::~Forwarder() = default;

auto Forwarder::setConfiguration(std::shared_ptr<const RoutingConfiguration> configuration) -> void
{
    const std::lock_guard lock(m_mutex);
    const auto previous = m_configuration.load();
    Core::invariant(!previous || previous->version <= configuration->version, "forwarding.version-never-goes-back");
    m_configuration.store(std::move(configuration));
    applyLists(lock);
}

auto Forwarder::setUpstreams(const UpstreamEntries& entries, const EvacuatedDomains& evacuated) -> void
{
    {
        const std::lock_guard lock(m_mutex);
        m_entries = entries;
        m_evacuated = evacuated;
        applyLists(lock);
    }
    wakeWaiting();
}

auto Forwarder::applyLists(const std::lock_guard<std::mutex>&) -> void
{
    const auto configuration = m_configuration.load();
    auto services = entriesByService(m_entries);
    auto contexts = std::make_shared<detail::ServiceContexts>(*m_contexts.load());
    if (configuration) {
        for (const auto& [id, settings] : configuration->services)
            services.try_emplace(id);
    }
    for (const auto& [id, context] : *contexts)
        services.try_emplace(id);
    const auto now = m_environment.clock.now();
    for (const auto& [id, entries] : services) {
        auto& context = (*contexts)[id];
        if (!context)
            context = makeContext(id);
        context->pool.update(entries, m_evacuated, now);
        context->pool.setListStale(m_isListStale);
        if (configuration && configuration->services.contains(id))
            context->pool.setSettings(configuration->services.at(id));
    }
    m_contexts.store(std::move(contexts));
}

auto Forwarder::setRetryAllowance(const RetryAllowance& allowance) -> void
{
    m_retryRatio = allowance.ratio;
    m_retrySlack = allowance.slack;
}

auto Forwarder::setShutdownDeadline(Core::Instant end) -> void { m_shutdownDeadline.store(end); }

auto Forwarder::handle(ForwardRequest request, ForwardCallback callback) -> std::shared_ptr<OpenRequest>
{
    auto operation = std::make_shared<ForwardOperation>(*this, std::move(request), std::move(callback));
    operation->start();
    return operation;
}

auto Forwarder::runProbes() -> void
{
    const auto contexts = m_contexts.load();
    if (contexts->empty())
        return;
    std::vector<std::shared_ptr<detail::ServiceContext>> services;
    for (const auto& [id, context] : *contexts)
        services.push_back(context);
    // Each service is first in turn, so that none takes all health checks of the rounds.
    const auto first = m_firstProbedService++ % services.size();
    std::rotate(services.begin(), services.begin() + static_cast<std::ptrdiff_t>(first), services.end());
    std::size_t started = 0;
    for (const auto& context : services) {
        const auto due = context->pool.takeDueProbes(m_environment.clock.now(), maximumProbesPerRound - started);
        started += due.size();
        for (const auto& target : due)
            probe(context, target);
    }
}

auto Forwarder::probe(const std::shared_ptr<detail::ServiceContext>& context, const Ports::UpstreamTarget& target)
    -> void
{
    m_environment.exchanges.probeHealth(
        target, context->pool.healthPath(), [this, context, target](const Core::Result<Ports::HealthReport>& report) {
            recordProbe(context, target, report);
        });
}

auto Forwarder::setListStale(bool isStale) -> void
{
    const std::lock_guard lock(m_mutex);
    m_isListStale = isStale;
    for (const auto& [id, context] : *m_contexts.load())
        context->pool.setListStale(isStale);
}

auto Forwarder::markUpstreamsUnverified() -> void
{
    const auto contexts = m_contexts.load();
    for (const auto& [id, context] : *contexts)
        context->pool.markAllUnverified();
}

auto Forwarder::recordProbe(const std::shared_ptr<detail::ServiceContext>& context, const Ports::UpstreamTarget& target,
    const Core::Result<Ports::HealthReport>& report) -> void
{
    const bool shouldAnnounce = context->pool.recordProbe(target, report, m_environment.clock.now());
    context->waitingRoom->wake();
    m_environment.events.record({ Ports::EventKind("upstream.probed"), {},
        { { "upstream", target.id.value() }, { "service", context->pool.service().value() },
            { "healthy", report && report->isHealthy ? "yes" : "no" },
            { "leaving", report && report->signals.isLeaving ? "yes" : "no" },
            { "coldMs", report ? std::to_string(report->coldRemaining.count() / 1000) : "unknown" },
            { "detail", report ? "" : describe(report.error()) } } });
    if (!shouldAnnounce)
        return;
    const bool isHealthy = report && report->isHealthy && report->id == target.id;
    m_noticeCallback(
        { context->pool.service(), target.id, isHealthy, isHealthy ? report->coldRemaining : Core::Duration(0) });
}

auto Forwarder::accept(const UpstreamNotices& notices) -> void
{
    for (const auto& notice : notices)
        accept(notice);
}

auto Forwarder::accept(const UpstreamNotice& notice) -> void
{
    const auto contexts = m_contexts.load();
    const auto found = contexts->find(notice.service);
    if (found == contexts->end() || !found->second->pool.applyNotice(notice, m_environment.clock.now()))
        return;
    m_environment.events.record({ Ports::EventKind("upstream.told"), {},
        { { "upstream", notice.upstream.value() }, { "service", notice.service.value() },
            { "healthy", notice.isHealthy ? "yes" : "no" },
            { "coldMs", std::to_string(notice.coldRemaining.count() / 1000) } } });
}

auto Forwarder::configuration() const -> std::shared_ptr<const RoutingConfiguration> { return m_configuration.load(); }

auto Forwarder::contextFor(const Core::ServiceId& service) const -> std::shared_ptr<detail::ServiceContext>
{
    const auto contexts = m_contexts.load();
    const auto found = contexts->find(service);
    if (found != contexts->end())
        return found->second;
    return makeContext(service);
}

auto Forwarder::makeContext(const Core::ServiceId& service) const -> std::shared_ptr<detail::ServiceContext>
{
    return std::make_shared<detail::ServiceContext>(
        service, m_environment.pool, m_environment.clock, m_environment.scheduler);
}

auto Forwarder::wakeWaiting() -> void
{
    for (const auto& [id, context] : *m_contexts.load())
        context->waitingRoom->wake();
}

} // namespace Forwarding
