#pragma once

#include "core/bufferaccount.h"
#include "forwarding/answersizes.h"
#include "forwarding/crashguard.h"
#include "forwarding/forwardrequest.h"
#include "forwarding/rollingretrybudget.h"
#include "forwarding/routingconfiguration.h"
#include "forwarding/servicepool.h"
#include "forwarding/upstreamnotice.h"
#include "forwarding/waitingroom.h"
#include "forwarding/weightedroundrobin.h"
#include "ports/clock.h"
#include "ports/eventsink.h"
#include "ports/metricsink.h"
#include "ports/randomsource.h"
#include "ports/scheduler.h"
#include "quotas/quotagate.h"

#include <atomic>

namespace Forwarding {

namespace detail {

    /// Upstream pool of a service and the retry budget that belongs to it.
    struct ServiceContext {
        ServiceContext(const Core::ServiceId& service, ServicePool::Environment environment, const Ports::Clock& clock,
            Ports::Scheduler& scheduler)
            : pool(service, std::move(environment))
            , waitingRoom(std::make_shared<WaitingRoom>(clock, scheduler))
        {
        }
        ServicePool pool;
        std::shared_ptr<WaitingRoom> waitingRoom;
        RollingRetryBudget retryBudget;
    };

    using ServiceContexts = std::map<Core::ServiceId, std::shared_ptr<ServiceContext>>;

} // namespace detail

/// Memory for answers in flight.
struct BufferSettings {
    /// Null if there is no limit.
    std::shared_ptr<Core::BufferAccount> account;
    /// The most that one answer holds at a time, however large it is.
    Core::Bytes perAnswer;
};

/// Forwards requests to the upstreams that the configuration selects for them, and refuses those that can't be served.
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
        std::shared_ptr<Quotas::QuotaGate> quotas = std::make_shared<Quotas::UnlimitedQuotas>();
        BufferSettings buffers {};
    };

    using NoticeCallback = std::function<void(const UpstreamNotice&)>;

    explicit Forwarder(Environment environment);
    ~Forwarder();

    /// Applies to requests that arrive afterwards.
    auto setConfiguration(std::shared_ptr<const RoutingConfiguration> configuration) -> void;
    auto setUpstreams(const UpstreamEntries& entries, const EvacuatedDomains& evacuated) -> void;
    /// Sets this entry VM's share of the fleet-wide retry budget; it applies to each service separately.
    auto setRetryAllowance(const RetryAllowance& allowance) -> void;
    /// Announces that the process stops at the given instant. From now on requests whose deadline is later are refused
    /// at once, because nobody could deliver their answers; no request is cut short.
    auto setShutdownDeadline(Core::Instant end) -> void;
    /// Forwards the request. The callback runs exactly once, on any thread.
    auto handle(ForwardRequest request, ForwardCallback callback) -> std::shared_ptr<OpenRequest>;
    /// Largest number of health checks that one round starts. When many upstreams change together, the health checks
    /// must not take the processor time that requests and changes of the store need.
    static constexpr std::size_t maximumProbesPerRound = 5;

    /// Starts health checks that are due; called at short intervals.
    auto runProbes() -> void;
    /// Sets whether the list of upstreams is stale, that is, may lack recent changes.
    auto setListStale(bool isStale) -> void;
    /// Marks all upstreams as possibly restarted unnoticed, so that each is probed.
    auto markUpstreamsUnverified() -> void;
    /// Sets the callback that receives probe results for the other entry VMs.
    auto setNoticeCallback(NoticeCallback noticeCallback) -> void { m_noticeCallback = std::move(noticeCallback); }
    /// Applies another entry VM's probe results.
    auto accept(const UpstreamNotices& notices) -> void;
    auto crashGuard() -> CrashGuard& { return m_crashGuard; }
    [[nodiscard]] auto configuration() const -> std::shared_ptr<const RoutingConfiguration>;

private:
    friend class ForwardOperation;

    [[nodiscard]] auto contextFor(const Core::ServiceId& service) const -> std::shared_ptr<detail::ServiceContext>;
    [[nodiscard]] auto makeContext(const Core::ServiceId& service) const -> std::shared_ptr<detail::ServiceContext>;

    const Environment m_environment;
    WeightedRoundRobin m_roundRobin;
    CrashGuard m_crashGuard;
    AnswerSizes m_answerSizes;
    NoticeCallback m_noticeCallback = [](const UpstreamNotice&) {};
    std::atomic<std::shared_ptr<const RoutingConfiguration>> m_configuration;
    std::atomic<std::shared_ptr<const detail::ServiceContexts>> m_contexts;
    std::atomic<double> m_retryRatio { RetryAllowance().ratio };
    std::atomic<double> m_retrySlack { RetryAllowance().slack };
    std::atomic<Core::Instant> m_shutdownDeadline { Core::Instant::max() };
    /// Serialises updates of the service contexts.
    std::mutex m_mutex;
    UpstreamEntries m_entries;
    EvacuatedDomains m_evacuated;
    bool m_isListStale = false;
    /// Service whose health checks go first in the next round.
    std::size_t m_firstProbedService = 0;

    auto probe(const std::shared_ptr<detail::ServiceContext>& context, const Ports::UpstreamTarget& target) -> void;
    auto recordProbe(const std::shared_ptr<detail::ServiceContext>& context, const Ports::UpstreamTarget& target,
        const Core::Result<Ports::HealthReport>& report) -> void;
    auto accept(const UpstreamNotice& notice) -> void;
    /// Starts waiting requests after a change of the upstreams.
    auto wakeWaiting() -> void;
    [[nodiscard]] auto retryAllowance() const -> RetryAllowance { return { m_retryRatio, m_retrySlack }; }
    auto applyLists(const std::lock_guard<std::mutex>& lock) -> void;
};

} // namespace Forwarding
