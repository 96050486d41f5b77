#pragma once

#include "core/request.h"

#include <map>
#include <vector>

namespace PolicyBench {

/// Outcomes of the requests of one group.
struct GroupOutcome {
    std::uint64_t offered = 0;
    std::uint64_t answeredInTime = 0;
    std::uint64_t answeredLate = 0;
    std::uint64_t refusedNotRun = 0;
    std::uint64_t unknown = 0;
    /// Requests that are resubmitted until they are answered. Each is counted once.
    std::uint64_t eventuallyAnswered = 0;
    std::uint64_t neverAnswered = 0;
    std::vector<Core::Duration> latencies;

    /// Returns the latency that the given fraction of the answers does not exceed, in milliseconds, or 0 if there are
    /// no answers.
    [[nodiscard]] auto percentile(double fraction) const -> double;
};

/// Counts the outcomes of requests that are offered within the measurement window, by group.
class OutcomeRecorder {
public:
    using Group = std::string;

    auto recordOffered(const Group& group) -> void { ++m_groups[group].offered; }
    auto recordReply(const Group& group, const Core::Reply& reply, Core::Duration latency, Core::Duration deadline)
        -> void;
    /// Adds the slot time of a request that was answered before its deadline and within the measurement window.
    auto addUsefulTime(Core::Duration slotTime) -> void { m_usefulTime += slotTime; }
    [[nodiscard]] auto usefulTime() const -> Core::Duration { return m_usefulTime; }
    auto recordResubmitted(const Group& group, bool isAnswered) -> void;
    [[nodiscard]] auto groups() const -> const std::map<Group, GroupOutcome>& { return m_groups; }

private:
    std::map<Group, GroupOutcome> m_groups;
    Core::Duration m_usefulTime {};
};

} // namespace PolicyBench
