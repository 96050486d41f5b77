#include "workload.h"

#include <cmath>
#include <numeric>

namespace PolicyBench {

namespace {

    constexpr std::uint32_t defaultCallerCount = 50;
    constexpr Core::Millis resubmitDelay { 5000 };
    constexpr Core::Millis crashInterval { 500 };
    constexpr auto floodGroup = "flood";

    auto availableSlots(const Preset& preset, const ServiceSpec& service) -> double
    {
        if (service.policy.pool == preset.services[0].policy.pool
            && service.policy.service != preset.services[0].policy.service)
            return preset.slots();
        if (preset.services[1].policy.pool == preset.services[0].policy.pool)
            return preset.slots();
        return std::accumulate(service.endpointSlots.begin(), service.endpointSlots.end(), 0U);
    }

} // namespace

Workload::Workload(const Preset& preset, const Scenario& scenario, TestSupport::VirtualTime& time,
    Dispatch::Dispatcher& dispatcher, OutcomeRecorder& outcomes, std::uint64_t seed)
    : m_preset(preset)
    , m_scenario(scenario)
    , m_time(time)
    , m_dispatcher(dispatcher)
    , m_outcomes(outcomes)
    , m_seed(seed)
    , m_startedAt(time.now())
{
}

auto Workload::start() -> void
{
    const bool isShared = m_preset.services[1].policy.pool == m_preset.services[0].policy.pool;
    constexpr double ownPoolShare = 0.7;
    for (const auto& service : m_preset.services) {
        const auto share = (isShared ? service.steadyShare : ownPoolShare) * m_scenario.loadFactor;
        auto& stream = addStream(service, std::string(toString(service.policy.rank)), share);
        stream.end = runEnd - std::chrono::seconds(50);
        stream.callers = defaultCallerCount;
        stream.isResubmitted = service.policy.rank == Core::Rank::Deferrable;
    }
    if (m_scenario.floodService) {
        const auto& service = m_preset.services[*m_scenario.floodService];
        m_time.schedule(windowStart, [this, service] {
            auto& stream = addStream(service, floodGroup, m_scenario.floodFactor);
            stream.end = windowEnd;
            stream.callers = m_scenario.hasSingleCaller ? 1 : defaultCallerCount;
        });
    }
    if (m_scenario.sendsCrashRequest)
        m_time.schedule(windowStart, [this] { sendCrashRequest(); });
}

auto Workload::finish() -> void
{
    for (const auto& [group, count] : m_unansweredResubmissions) {
        for (std::uint64_t index = 0; index < count; ++index)
            m_outcomes.recordResubmitted(group, false);
    }
}

auto Workload::addStream(const ServiceSpec& service, const std::string& group, double slotShare) -> Stream&
{
    const auto perSlot
        = static_cast<double>(service.serviceTime.count()) / (availableSlots(m_preset, service) * slotShare);
    auto stream = std::make_shared<Stream>();
    stream->service = service;
    stream->group = group;
    stream->meanGap = Core::Duration(static_cast<Core::Duration::rep>(perSlot));
    stream->random.seed(m_seed * 31 + m_streams.size());
    m_streams.push_back(stream);
    m_time.post([this, stream] { scheduleNext(stream); });
    return *stream;
}

auto Workload::scheduleNext(const std::shared_ptr<Stream>& stream) -> void
{
    std::exponential_distribution<double> gaps(1.0 / static_cast<double>(stream->meanGap.count()));
    const Core::Duration gap(static_cast<Core::Duration::rep>(gaps(stream->random)));
    if (m_time.now() + gap - m_startedAt >= stream->end)
        return;
    m_time.schedule(gap, [this, stream] {
        offer(stream);
        scheduleNext(stream);
    });
}

auto Workload::offer(const std::shared_ptr<Stream>& stream) -> void
{
    const auto number = m_nextId++;
    Core::ServiceRequest request;
    request.id = Core::RequestId("r" + std::to_string(number));
    request.service = stream->service.policy.service;
    request.caller = Core::CallerId(stream->group + "-" + std::to_string(stream->random() % stream->callers));
    request.body = request.id.value();
    const bool isMeasured = isInWindow();
    if (isMeasured && stream->isResubmitted)
        ++m_unansweredResubmissions[stream->group];
    submit(stream, request, isMeasured, true);
}

auto Workload::submit(
    const std::shared_ptr<Stream>& stream, const Core::ServiceRequest& request, bool isMeasured, bool isFirst) -> void
{
    auto timed = request;
    timed.deadline = m_time.now() + stream->service.deadline;
    if (isMeasured && isFirst)
        m_outcomes.recordOffered(stream->group);
    m_dispatcher.dispatch(timed, stream->service.policy,
        [this, stream, request, isMeasured, isFirst, offeredAt = m_time.now()](const Core::Reply& reply) {
            const auto latency = m_time.now() - offeredAt;
            const bool isAnswered = std::holds_alternative<Core::Answer>(reply);
            if (isAnswered && latency <= stream->service.deadline && isInWindow())
                m_outcomes.addUsefulTime(stream->service.serviceTime);
            if (isMeasured && isFirst)
                m_outcomes.recordReply(stream->group, reply, latency, stream->service.deadline);
            if (!isMeasured || !stream->isResubmitted)
                return;
            if (isAnswered) {
                --m_unansweredResubmissions[stream->group];
                m_outcomes.recordResubmitted(stream->group, true);
                return;
            }
            m_time.schedule(resubmitDelay, [this, stream, request] { submit(stream, request, true, false); });
        });
}

auto Workload::sendCrashRequest() -> void
{
    if (!isInWindow())
        return;
    const auto& service = m_preset.services[0];
    Core::ServiceRequest request;
    request.id = Core::RequestId("crash" + std::to_string(m_nextId++));
    request.service = service.policy.service;
    request.caller = Core::CallerId("crashing");
    request.body = "crash-request";
    request.deadline = m_time.now() + service.deadline;
    m_dispatcher.dispatch(request, service.policy, [](const Core::Reply&) {});
    m_time.schedule(crashInterval, [this] { sendCrashRequest(); });
}

auto Workload::isInWindow() const -> bool
{
    const auto elapsed = m_time.now() - m_startedAt;
    return elapsed >= windowStart && elapsed < windowEnd;
}

} // namespace PolicyBench
