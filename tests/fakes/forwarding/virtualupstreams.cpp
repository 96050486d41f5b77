#include "fakes/forwarding/virtualupstreams.h"

#include <algorithm>

namespace Fakes {

namespace {

    using Ports::ExchangeOutcome;

    const NodeId upstreamsNode { "upstreams" };
    constexpr Core::Millis minimumLatency { 1 };
    constexpr Core::Millis maximumLatency { 20 };
    constexpr Core::Millis minimumServiceTime { 20 };
    constexpr Core::Millis maximumServiceTime { 120 };
    /// Number of requests that may queue at an upstream per slot.
    constexpr std::size_t queuePerSlot = 2;
    constexpr Core::Millis healthTimeout { 700 };
    constexpr Core::Millis idleConnectionTime { 8000 };
    constexpr Core::Millis coldWindow { 1000 };
    constexpr Core::Millis shortestPause { 700 };
    constexpr Core::Millis longestPause { 3000 };

    auto resultOf(ExchangeOutcome outcome) -> Ports::ExchangeResult
    {
        Ports::ExchangeResult result;
        result.outcome = outcome;
        return result;
    }

    class Answer : public Ports::Message { };

} // namespace

/// Exchange of one request with an upstream.
struct VirtualUpstreams::Job : Ports::Exchange {
    Job(NodeId sender, std::weak_ptr<bool> senderLife, Ports::ExchangeCall exchangeCall,
        Ports::ExchangeClient::ResultCallback onResult)
        : vm(std::move(sender))
        , life(std::move(senderLife))
        , call(std::move(exchangeCall))
        , callback(std::move(onResult))
    {
    }

    auto cancel() -> void override
    {
        isCancelled = true;
        finish(resultOf(ExchangeOutcome::Cancelled));
    }

    auto finish(const Ports::ExchangeResult& result) -> void
    {
        if (!std::exchange(isFinished, true) && !life.expired())
            callback(result);
    }

    const NodeId vm;
    const std::weak_ptr<bool> life;
    const Ports::ExchangeCall call;
    Ports::ExchangeClient::ResultCallback callback;
    bool isCancelled = false;
    bool isFinished = false;
    /// False if the sender gave up before the answer arrived.
    bool hasReceivedAnswer = false;
};

VirtualUpstreams::VirtualUpstreams(VirtualWorld& world, RequestTracker& requestTracker, IsStable isStable)
    : m_world(world)
    , m_requestTracker(requestTracker)
    , m_isStable(std::move(isStable))
{
}

auto VirtualUpstreams::add(const Forwarding::UpstreamEntry& entry, Core::Duration coldTime) -> void
{
    Upstream upstream;
    upstream.entry = entry;
    upstream.coldUntil = m_world.now() + coldTime;
    m_upstreams.insert_or_assign(entry.target.id, std::move(upstream));
}

auto VirtualUpstreams::end(const Core::UpstreamId& id) -> void
{
    auto ended = m_upstreams.extract(id);
    if (ended.empty())
        return;
    for (const auto& job : ended.mapped().jobs)
        reply(job, resultOf(ExchangeOutcome::Lost));
}

auto VirtualUpstreams::retire(const Core::UpstreamId& id) -> void
{
    if (const auto found = m_upstreams.find(id); found != m_upstreams.end())
        found->second.retiredAt = m_world.now();
}

auto VirtualUpstreams::nextReport(const Core::UpstreamId& id) -> Forwarding::ReportNumber
{
    return Forwarding::ReportNumber(++m_upstreams.at(id).reports);
}

auto VirtualUpstreams::setEvacuated(const Core::FailureDomainId& domain, bool isEvacuated) -> void
{
    if (isEvacuated) {
        m_evacuatedAt.try_emplace(domain, m_world.now());
        return;
    }
    m_evacuatedAt.erase(domain);
    for (auto& [sender, domains] : m_toldEvacuations)
        domains.erase(domain);
}

auto VirtualUpstreams::recordToldByStore(const Sender& sender, const KnownStarts& known) -> void
{
    const auto now = m_world.now();
    for (auto& [id, upstream] : m_upstreams) {
        const bool isKnown = known.contains({ id, upstream.entry.target.start });
        if (isKnown && upstream.retiredAt && now - *upstream.retiredAt > m_bounds.drain)
            upstream.told[sender].leavingAt = upstream.retiredAt;
    }
    for (const auto& [domain, evacuatedAt] : m_evacuatedAt) {
        if (now - evacuatedAt > m_bounds.evacuation)
            m_toldEvacuations[sender].insert(domain);
    }
}

auto VirtualUpstreams::entry(const Core::UpstreamId& id) const -> const Forwarding::UpstreamEntry&
{
    return m_upstreams.at(id).entry;
}

auto VirtualUpstreams::coldRemaining(const Core::UpstreamId& id) const -> Core::Duration
{
    return std::max(Core::Duration(0), m_upstreams.at(id).coldUntil - m_world.now());
}

auto VirtualUpstreams::at(const Core::Address& address) -> Upstream*
{
    const auto found = std::find_if(m_upstreams.begin(), m_upstreams.end(),
        [&](const auto& item) { return item.second.entry.target.address == address; });
    return found == m_upstreams.end() ? nullptr : &found->second;
}

auto VirtualUpstreams::loadOf(const Upstream& upstream) const -> Ports::ReportedLoad
{
    const auto slots = upstream.entry.slots;
    const auto jobs = static_cast<std::uint32_t>(upstream.jobs.size());
    const auto running = std::min(jobs, slots.value());
    return { running, jobs - running, slots };
}

auto VirtualUpstreams::reply(const JobPointer& job, Ports::ExchangeResult result) -> void
{
    m_world.post(
        upstreamsNode, m_world.between(minimumLatency, maximumLatency), [this, job, result = std::move(result)] {
            if (!job->life.expired())
                m_world.post(job->vm, {}, [job, result] {
                    job->hasReceivedAnswer |= !job->isFinished;
                    job->finish(result);
                });
        });
}

auto VirtualUpstreams::arrive(const JobPointer& job) -> void
{
    if (job->isCancelled)
        return;
    auto* upstream = at(job->call.target.address);
    if (upstream == nullptr) {
        if (m_world.chance(0.5))
            reply(job, resultOf(ExchangeOutcome::NotSent));
        return;
    }
    if (upstream->entry.target.id != job->call.target.id) {
        reply(job, resultOf(ExchangeOutcome::Misdirected));
        return;
    }
    m_requestTracker.arrived(job->call.id, upstream->entry.service, m_world.now());
    checkArrival(*upstream, *job);
    checkTold(*upstream, *job);
    const auto capacity = upstream->entry.slots.value() * (1 + queuePerSlot);
    if (upstream->jobs.size() >= capacity || m_world.chance(m_faults.refused)) {
        auto refused = resultOf(ExchangeOutcome::NotRun);
        refused.load = loadOf(*upstream);
        askForPause(job, refused);
        reply(job, refused);
    } else if (m_world.chance(m_faults.lostBeforeRun)) {
        reply(job, resultOf(ExchangeOutcome::Lost));
    } else {
        run(*upstream, job);
    }
}

auto VirtualUpstreams::checkArrival(Upstream& upstream, const Job& job) -> void
{
    const auto now = m_world.now();
    const auto details
        = "upstream " + upstream.entry.target.id.value() + " by " + job.call.id.value() + " from " + job.vm.value();
    if (now < upstream.coldUntil)
        checkCold(upstream, job);
    if (!m_isStable(job.vm))
        return;
    if (upstream.retiredAt && now - *upstream.retiredAt > m_bounds.drain)
        m_requestTracker.recordViolation("retired, but reached: " + details);
    const auto evacuated = m_evacuatedAt.find(upstream.entry.failureDomain);
    if (evacuated != m_evacuatedAt.end() && now - evacuated->second > m_bounds.evacuation)
        m_requestTracker.recordViolation("evacuated, but reached: " + details);
}

auto VirtualUpstreams::checkTold(Upstream& upstream, const Job& job) -> void
{
    const auto evacuations = m_toldEvacuations.find(job.life);
    if (evacuations != m_toldEvacuations.end() && evacuations->second.contains(upstream.entry.failureDomain))
        m_requestTracker.recordViolation("known as evacuated, but reached: upstream " + upstream.entry.target.id.value()
            + " from " + job.vm.value());
    const auto found = upstream.told.find(job.life);
    if (found == upstream.told.end())
        return;
    auto& told = found->second;
    const auto now = m_world.now();
    const auto details = upstream.entry.target.id.value() + " from " + job.vm.value();
    if (told.leavingAt && now - *told.leavingAt > m_bounds.drain)
        m_requestTracker.recordViolation("known to leave, but reached: upstream " + details);
    const bool isInPause = now - told.pausedAt > m_bounds.pauseSlack && now < told.pausedUntil;
    if (isInPause && ++told.requestsInPause > m_bounds.requestsInPause)
        m_requestTracker.recordViolation("sent to an upstream that asked for a pause: " + details + ", start "
            + std::to_string(job.call.target.start.value()) + " of "
            + std::to_string(upstream.entry.target.start.value()));
}

auto VirtualUpstreams::askForPause(const JobPointer& job, Ports::ExchangeResult& refusal) -> void
{
    if (!m_world.chance(m_faults.pause))
        return;
    refusal.signals.pause = m_world.between(shortestPause, longestPause);
    recordTold(job->call.target.id, job, refusal.signals);
}

auto VirtualUpstreams::recordTold(
    const Core::UpstreamId& id, const JobPointer& job, const Ports::UpstreamSignals& signals) -> void
{
    const auto pausedUntil = m_world.now() + signals.pause;
    m_world.post(job->vm, maximumLatency, [this, id, job, signals, pausedUntil] {
        const auto found = m_upstreams.find(id);
        if (found == m_upstreams.end() || !job->hasReceivedAnswer)
            return;
        auto& told = found->second.told[job->life];
        if (signals.isLeaving)
            told.leavingAt = told.leavingAt.value_or(m_world.now());
        if (signals.pause.count() > 0 && m_world.now() >= told.pausedUntil)
            told = { told.leavingAt, m_world.now(), pausedUntil, 0 };
    });
}

auto VirtualUpstreams::checkCold(Upstream& upstream, const Job& job) -> void
{
    const auto now = m_world.now();
    auto& arrivals = upstream.coldArrivals;
    arrivals.push_back({ now, job.vm });
    while (now - arrivals.front().at >= coldWindow)
        arrivals.pop_front();
    const auto limit = m_bounds.coldRate * m_bounds.coldOvershoot + m_bounds.coldSlack;
    if (static_cast<double>(arrivals.size()) <= limit)
        return;
    std::map<NodeId, int> senders;
    for (const auto& arrival : arrivals)
        ++senders[arrival.vm];
    auto description = "too many requests at the cold upstream " + upstream.entry.target.id.value()
        + ", last for start " + std::to_string(job.call.target.start.value()) + " of "
        + std::to_string(upstream.entry.target.start.value());
    for (const auto& [vm, count] : senders)
        description += ", " + std::to_string(count) + " from " + vm.value() + (m_isStable(vm) ? "" : " (not stable)");
    m_requestTracker.recordViolation(description);
}

auto VirtualUpstreams::run(Upstream& upstream, const JobPointer& job) -> void
{
    m_requestTracker.ran(job->call.id, m_world.now());
    upstream.jobs.push_back(job);
    const auto load = std::max<std::size_t>(1, upstream.jobs.size() / upstream.entry.slots.value());
    const auto time = m_world.between(minimumServiceTime, maximumServiceTime) * static_cast<int>(load);
    m_world.post(upstreamsNode, time, [this, id = upstream.entry.target.id, job] { finishRun(id, job); });
}

auto VirtualUpstreams::finishRun(const Core::UpstreamId& id, const JobPointer& job) -> void
{
    const auto found = m_upstreams.find(id);
    if (found == m_upstreams.end() || std::erase(found->second.jobs, job) == 0)
        return;
    if (m_world.chance(m_faults.silent))
        return;
    if (m_world.chance(m_faults.answerLost)) {
        reply(job, resultOf(ExchangeOutcome::Lost));
        return;
    }
    auto result
        = resultOf(m_world.chance(m_faults.brokenAnswer) ? ExchangeOutcome::Invalid : ExchangeOutcome::Answered);
    result.answer = std::make_shared<Answer>();
    result.load = loadOf(found->second);
    if (found->second.retiredAt && result.outcome == ExchangeOutcome::Answered) {
        result.signals.isLeaving = true;
        recordTold(id, job, result.signals);
    }
    reply(job, result);
}

auto VirtualExchangeClient::start(Ports::ExchangeCall call, ResultCallback callback) -> std::shared_ptr<Ports::Exchange>
{
    auto& world = m_virtualUpstreams.m_world;
    const auto timeLeft = call.timeLeft;
    reportEndedConnection(call);
    auto job = std::make_shared<VirtualUpstreams::Job>(m_vm, m_life, std::move(call), std::move(callback));
    world.post(upstreamsNode, world.between(minimumLatency, maximumLatency),
        [&virtualUpstreams = m_virtualUpstreams, job] { virtualUpstreams.arrive(job); });
    world.post(m_vm, timeLeft, [job] { job->finish(resultOf(ExchangeOutcome::TimedOut)); });
    return job;
}

auto VirtualExchangeClient::reportEndedConnection(const Ports::ExchangeCall& call) -> void
{
    const auto* upstream = m_virtualUpstreams.at(call.target.address);
    const auto now = m_virtualUpstreams.m_world.now();
    const auto connection = m_idleConnections.find(call.target.id);
    const bool isSameUpstream = upstream != nullptr && upstream->entry.target.id == call.target.id;
    if (connection != m_idleConnections.end() && now < connection->second.until
        && (!isSameUpstream || upstream->entry.target.start != connection->second.start))
        call.onConnectionClosed();
    if (isSameUpstream)
        m_idleConnections[call.target.id] = { upstream->entry.target.start, now + idleConnectionTime };
    else
        m_idleConnections.erase(call.target.id);
}

auto VirtualExchangeClient::probeHealth(
    const Ports::UpstreamTarget& target, const std::string&, HealthCallback callback) -> void
{
    auto& world = m_virtualUpstreams.m_world;
    const auto answer = [this, life = std::weak_ptr(m_life), callback = std::move(callback)](
                            Core::Duration delay, Core::Result<Ports::HealthReport> report) {
        m_virtualUpstreams.m_world.post(m_vm, delay, [life, callback, report = std::move(report)] {
            if (!life.expired())
                callback(report);
        });
    };
    const auto* upstream = m_virtualUpstreams.at(target.address);
    if (upstream == nullptr) {
        answer(healthTimeout, Core::fail(Core::ErrorKind::Unreachable, "no answer", "retry later"));
        return;
    }
    const auto& id = upstream->entry.target.id;
    answer(world.between(minimumLatency, maximumLatency),
        Ports::HealthReport { id, !upstream->retiredAt, m_virtualUpstreams.coldRemaining(id), std::nullopt });
}

} // namespace Fakes
