#include "forwarding/forwarder.h"

#include "core/invariant.h"
#include "forwarding/passage.h"

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
    , m_desks(std::make_shared<const detail::ServiceDesks>())
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
    const std::lock_guard lock(m_mutex);
    m_entries = entries;
    m_evacuated = evacuated;
    applyLists(lock);
}

auto Forwarder::applyLists(const std::lock_guard<std::mutex>&) -> void
{
    const auto configuration = m_configuration.load();
    auto services = entriesByService(m_entries);
    auto desks = std::make_shared<detail::ServiceDesks>(*m_desks.load());
    if (configuration) {
        for (const auto& [id, settings] : configuration->services)
            services.try_emplace(id);
    }
    for (const auto& [id, desk] : *desks)
        services.try_emplace(id);
    const auto now = m_environment.clock.now();
    for (const auto& [id, entries] : services) {
        auto& desk = (*desks)[id];
        if (!desk)
            desk = std::make_shared<detail::ServiceDesk>(id, m_environment.pool);
        desk->pool.update(entries, m_evacuated, now);
        desk->pool.setListStale(m_isListStale);
        if (configuration && configuration->services.contains(id))
            desk->pool.setSettings(configuration->services.at(id));
    }
    m_desks.store(std::move(desks));
}

auto Forwarder::setRetryAllowance(const RetryAllowance& allowance) -> void
{
    m_retryRatio = allowance.ratio;
    m_retrySlack = allowance.slack;
}

auto Forwarder::setEnd(Core::Instant end) -> void { m_end.store(end); }

auto Forwarder::handle(ForwardRequest request, ForwardCallback callback) -> std::shared_ptr<OpenRequest>
{
    auto passage = std::make_shared<Passage>(*this, std::move(request), std::move(callback));
    passage->start();
    return passage;
}

auto Forwarder::runProbes() -> void
{
    const auto desks = m_desks.load();
    for (const auto& [id, desk] : *desks) {
        for (const auto& target : desk->pool.takeDueProbes(m_environment.clock.now())) {
            m_environment.exchanges.askHealth(target, desk->pool.healthPath(),
                [this, desk = desk, target](
                    const Core::Result<Ports::HealthReport>& report) { recordProbe(desk, target, report); });
        }
    }
}

auto Forwarder::setListStale(bool isStale) -> void
{
    const std::lock_guard lock(m_mutex);
    m_isListStale = isStale;
    for (const auto& [id, desk] : *m_desks.load())
        desk->pool.setListStale(isStale);
}

auto Forwarder::doubtUpstreams() -> void
{
    const auto desks = m_desks.load();
    for (const auto& [id, desk] : *desks)
        desk->pool.doubtAll();
}

auto Forwarder::recordProbe(const std::shared_ptr<detail::ServiceDesk>& desk, const Ports::UpstreamTarget& target,
    const Core::Result<Ports::HealthReport>& report) -> void
{
    const bool isNews = desk->pool.recordProbe(target, report, m_environment.clock.now());
    m_environment.events.record({ Ports::EventKind("upstream.probed"), {},
        { { "upstream", target.id.value() }, { "service", desk->pool.service().value() },
            { "healthy", report && report->isHealthy ? "yes" : "no" },
            { "coldMs", report ? std::to_string(report->coldLeft.count() / 1000) : "unknown" },
            { "detail", report ? "" : describe(report.error()) } } });
    if (!isNews)
        return;
    const bool isHealthy = report && report->isHealthy && report->id == target.id;
    m_announceNotice({ desk->pool.service(), target.id, isHealthy, isHealthy ? report->coldLeft : Core::Duration(0) });
}

auto Forwarder::accept(const UpstreamNotice& notice) -> void
{
    const auto desks = m_desks.load();
    const auto found = desks->find(notice.service);
    if (found == desks->end())
        return;
    found->second->pool.learn(notice, m_environment.clock.now());
    m_environment.events.record({ Ports::EventKind("upstream.told"), {},
        { { "upstream", notice.upstream.value() }, { "service", notice.service.value() },
            { "healthy", notice.isHealthy ? "yes" : "no" },
            { "coldMs", std::to_string(notice.coldLeft.count() / 1000) } } });
}

auto Forwarder::configuration() const -> std::shared_ptr<const RoutingConfiguration> { return m_configuration.load(); }

auto Forwarder::deskOf(const Core::ServiceId& service) const -> std::shared_ptr<detail::ServiceDesk>
{
    const auto desks = m_desks.load();
    const auto found = desks->find(service);
    if (found != desks->end())
        return found->second;
    return std::make_shared<detail::ServiceDesk>(service, m_environment.pool);
}

} // namespace Forwarding
