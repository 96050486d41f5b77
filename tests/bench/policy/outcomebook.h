#pragma once

#include "core/request.h"

#include <map>
#include <vector>

namespace PolicyBench {

/// What became of the requests of one group.
struct GroupOutcome {
    std::uint64_t offered = 0;
    std::uint64_t answeredInTime = 0;
    std::uint64_t answeredLate = 0;
    std::uint64_t refusedNotRun = 0;
    std::uint64_t unknown = 0;
    /// Resubmitted until answered; counted once each.
    std::uint64_t landed = 0;
    std::uint64_t notLanded = 0;
    std::vector<Core::Duration> latencies;

    /// Latency that the given share of the answers stays within, in milliseconds; 0 without answers.
    [[nodiscard]] auto percentile(double share) const -> double;
};

/// Counts outcomes by group for requests that were offered within the measured window.
class OutcomeBook {
public:
    using Group = std::string;

    auto offered(const Group& group) -> void { ++m_groups[group].offered; }
    auto replied(const Group& group, const Core::Reply& reply, Core::Duration latency, Core::Duration deadline) -> void;
    /// Slot time of an answer that came in time within the measured window.
    auto addUseful(Core::Duration slotTime) -> void { m_usefulTime += slotTime; }
    [[nodiscard]] auto usefulTime() const -> Core::Duration { return m_usefulTime; }
    auto landed(const Group& group, bool hasLanded) -> void;
    [[nodiscard]] auto groups() const -> const std::map<Group, GroupOutcome>& { return m_groups; }

private:
    std::map<Group, GroupOutcome> m_groups;
    Core::Duration m_usefulTime {};
};

} // namespace PolicyBench
