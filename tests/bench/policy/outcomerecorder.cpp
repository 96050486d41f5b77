#include "outcomerecorder.h"

#include <algorithm>
#include <cmath>

namespace PolicyBench {

auto GroupOutcome::percentile(double fraction) const -> double
{
    if (latencies.empty())
        return 0;
    auto sorted = latencies;
    const auto rank = static_cast<std::size_t>(std::ceil(fraction * static_cast<double>(sorted.size())));
    const auto nth = sorted.begin() + static_cast<std::ptrdiff_t>(std::max<std::size_t>(rank, 1) - 1);
    std::nth_element(sorted.begin(), nth, sorted.end());
    return Core::asMillis(*nth);
}

auto OutcomeRecorder::recordReply(
    const Group& group, const Core::Reply& reply, Core::Duration latency, Core::Duration deadline) -> void
{
    auto& outcome = m_groups[group];
    if (const auto* refusal = std::get_if<Core::Refusal>(&reply)) {
        ++(refusal->outcome == Core::RunOutcome::NotRun ? outcome.refusedNotRun : outcome.unknown);
        return;
    }
    outcome.latencies.push_back(latency);
    if (latency > deadline) {
        ++outcome.answeredLate;
        return;
    }
    ++outcome.answeredInTime;
}

auto OutcomeRecorder::recordResubmitted(const Group& group, bool isAnswered) -> void
{
    ++(isAnswered ? m_groups[group].eventuallyAnswered : m_groups[group].neverAnswered);
}

} // namespace PolicyBench
