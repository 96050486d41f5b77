#pragma once

#include "forwarding/crashguard.h"
#include "forwarding/forwardrequest.h"
#include "forwarding/rollingretrybudget.h"
#include "forwarding/routingconfiguration.h"
#include "forwarding/servicepool.h"
#include "forwarding/upstreamnotice.h"
#include "forwarding/weightedturns.h"
#include "ports/clock.h"
#include "ports/eventsink.h"
#include "ports/metricsink.h"
#include "ports/randomsource.h"
#include "ports/scheduler.h"

#include <atomic>

namespace Forwarding {

namespace detail {

    /// Upstreams of a service with the allowance of repeats that belongs to it.
    struct ServiceDesk {
        ServiceDesk(const Core::ServiceId& service, ServicePool::Environment environment)
            : pool(service, std::move(environment))
        {
        }
        ServicePool pool;
        RollingRetryBudget retries;
    };

    using ServiceDesks = std::map<Core::ServiceId, std::shared_ptr<ServiceDesk>>;

} // namespace detail

/// Passes requests to the upstreams that the configuration names for them, and answers those that can't be served.
class Forwarder {
public:
    struct Environment {
        const Ports::Clock& clock;
        Ports::Scheduler& scheduler;
        Ports::RandomSource& random;
        Ports::ExchangeClient& exchanges;
        Ports::EventSink& events;
        Ports::MetricSink& metrics;
        ServicePool::Environment pool;
    };

    explicit Forwarder(Environment environment);
    ~Forwarder();

    /// Takes effect for requests that come later.
    auto setConfiguration(std::shared_ptr<const RoutingConfiguration> configuration) -> void;
    auto setUpstreams(const UpstreamEntries& entries, const EvacuatedDomains& evacuated) -> void;
    /// Part of the fleet's allowance of repeats that this entry VM may use for each service.
    auto setRetryAllowance(const RetryAllowance& allowance) -> void;
    /// From now on requests must end before the instant: the process is about to stop.
    auto setEnd(Core::Instant end) -> void;
    /// Calls back once, from any thread, unless the request is abandoned.
    auto handle(ForwardRequest request, ForwardCallback callback) -> std::shared_ptr<OpenRequest>;
    /// Asks ejected upstreams for their health; called at short intervals.
    auto runProbes() -> void;
    /// Whether the list of upstreams may miss what happens to them now.
    auto setListStale(bool isStale) -> void;
    /// Any upstream may have started again unnoticed: asks them all.
    auto doubtUpstreams() -> void;
    /// Called with what is found by asking upstreams, for the other entry VMs.
    auto setNoticeAnnounce(UpstreamNoticeReceiver announce) -> void { m_announceNotice = std::move(announce); }
    /// Takes what another entry VM found.
    auto accept(const UpstreamNotice& notice) -> void;
    auto crashGuard() -> CrashGuard& { return m_crashGuard; }
    [[nodiscard]] auto configuration() const -> std::shared_ptr<const RoutingConfiguration>;

private:
    friend class Passage;

    [[nodiscard]] auto deskOf(const Core::ServiceId& service) const -> std::shared_ptr<detail::ServiceDesk>;

    const Environment m_environment;
    WeightedTurns m_turns;
    CrashGuard m_crashGuard;
    UpstreamNoticeReceiver m_announceNotice = [](const UpstreamNotice&) {};
    std::atomic<std::shared_ptr<const RoutingConfiguration>> m_configuration;
    std::atomic<std::shared_ptr<const detail::ServiceDesks>> m_desks;
    std::atomic<double> m_retryRatio { RetryAllowance().ratio };
    std::atomic<double> m_retrySlack { RetryAllowance().slack };
    std::atomic<Core::Instant> m_end { Core::Instant::max() };
    /// Guards changes of the desks.
    std::mutex m_mutex;
    UpstreamEntries m_entries;
    EvacuatedDomains m_evacuated;
    bool m_isListStale = false;

    auto recordProbe(const std::shared_ptr<detail::ServiceDesk>& desk, const Ports::UpstreamTarget& target,
        const Core::Result<Ports::HealthReport>& report) -> void;
    [[nodiscard]] auto retryAllowance() const -> RetryAllowance { return { m_retryRatio, m_retrySlack }; }
    auto applyLists(const std::lock_guard<std::mutex>& lock) -> void;
};

} // namespace Forwarding
