#pragma once

#include "core/units.h"

#include <optional>

namespace Admission {

/// What decides whether and when a refused caller should come back.
struct ReturnRequest {
    /// Time after which room is expected.
    Core::Duration wait {};
    /// Time that the caller has left.
    Core::Duration timeLeft {};
    Core::Duration work {};
    /// Time for which a start is early enough for an answer within the target latency; negative if that has passed.
    Core::Duration inTimeLeft {};
    /// The caller has come back already.
    bool isReturn = false;
};

/// Tells refused callers when to come back. Answers the load of callers that are refused together, come back together
/// and are refused again: each gets a place of its own in the order in which slots become free.
class ReturnSchedule {
public:
    /// Part of the time left that callers honour.
    static constexpr int honouredDivisor = 3;

    /// Records that a request of the service was started.
    auto recordStart(Core::Instant now) -> void;
    /// Returns the time after which the caller should come back; none if it can't succeed by that. `jitter` is in
    /// [0, 1).
    [[nodiscard]] auto place(const ReturnRequest& request, double jitter, Core::Instant now)
        -> std::optional<Core::Duration>;

private:
    /// Returns the mean time between two starts.
    [[nodiscard]] auto interval(Core::Instant now) const -> Core::Duration;

    /// Starts, halved with each half-life.
    double m_starts = 0;
    Core::Instant m_startedAt;
    /// Next place that no caller was given.
    Core::Instant m_nextPlace;
};

} // namespace Admission
