#pragma once

#include "dispatch/dispatcher.h"
#include "scenario.h"
#include "support/virtualtime.h"

#include <random>

namespace PolicyBench {

/// Generates the requests of a scenario, passes them to a dispatcher and records their outcomes. The arrivals depend
/// only on the seed, never on the answers.
class Workload {
public:
    /// Measurement window and end of a run, relative to its start.
    static constexpr Core::Duration windowStart = std::chrono::seconds(10);
    static constexpr Core::Duration windowEnd = std::chrono::seconds(40);
    static constexpr Core::Duration runEnd = std::chrono::seconds(120);

    Workload(const Preset& preset, const Scenario& scenario, TestSupport::VirtualTime& time,
        Dispatch::Dispatcher& dispatcher, OutcomeRecorder& outcomes, std::uint64_t seed);

    auto start() -> void;
    /// Records the resubmitted requests that were never answered.
    auto finish() -> void;

private:
    struct Stream {
        ServiceSpec service;
        std::string group;
        Core::Duration meanGap {};
        Core::Duration end {};
        std::uint32_t callers = 1;
        bool isResubmitted = false;
        std::mt19937_64 random;
    };

    auto addStream(const ServiceSpec& service, const std::string& group, double slotShare) -> Stream&;
    auto scheduleNext(const std::shared_ptr<Stream>& stream) -> void;
    auto offer(const std::shared_ptr<Stream>& stream) -> void;
    auto submit(const std::shared_ptr<Stream>& stream, const Core::ServiceRequest& request, bool isMeasured,
        bool isFirst) -> void;
    auto sendCrashRequest() -> void;
    [[nodiscard]] auto isInWindow() const -> bool;

    const Preset& m_preset;
    const Scenario& m_scenario;
    TestSupport::VirtualTime& m_time;
    Dispatch::Dispatcher& m_dispatcher;
    OutcomeRecorder& m_outcomes;
    std::uint64_t m_seed;
    Core::Instant m_startedAt;
    std::uint64_t m_nextId = 0;
    std::map<std::string, std::uint64_t> m_unansweredResubmissions;
    std::vector<std::shared_ptr<Stream>> m_streams;
};

} // namespace PolicyBench
