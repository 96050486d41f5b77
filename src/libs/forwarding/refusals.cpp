#include "forwarding/refusals.h"

#include <algorithm>

namespace Forwarding {

namespace {

    using Core::RefusalReason;

    /// The retry delay is at most the caller's timeout divided by this.
    constexpr int retryDelayDivisor = 3;
    /// Number of steps of the jitter.
    constexpr std::uint64_t jitterSteps = 1024;

    auto describeFailure(const std::string& problem, const ChoiceFailure& failure) -> std::string
    {
        return "the " + std::to_string(failure.candidates) + " upstreams weighed " + problem + "; the least wait is "
            + std::to_string(std::chrono::duration_cast<Core::Millis>(failure.wait).count()) + " ms";
    }

} // namespace

auto refusalCauseOf(const ChoiceFailure& failure) -> RefusalCause
{
    switch (failure.reason) {
    case ChoiceFailureReason::NoUpstream:
        break;
    case ChoiceFailureReason::Busy:
        return { RefusalReason::Overloaded, describeFailure("are full", failure), failure.wait };
    case ChoiceFailureReason::DeadlineUnreachable:
        return { RefusalReason::DeadlineUnreachable, describeFailure("cannot answer in time", failure), failure.wait };
    }
    return { RefusalReason::NoUpstream, "the service has no usable upstream",
        std::max<Core::Duration>(failure.wait, minimumRetryAfter) };
}

auto retryDelay(Core::Duration wait, Core::Duration callerTimeout, Ports::RandomSource& random) -> Core::Duration
{
    const auto minimum = std::max<Core::Duration>(wait, minimumRetryAfter);
    const auto steps = static_cast<Core::Duration::rep>(random.next() % jitterSteps);
    const auto jitter = steps * minimum / static_cast<Core::Duration::rep>(jitterSteps);
    return std::min(minimum + jitter, callerTimeout / retryDelayDivisor);
}

} // namespace Forwarding
