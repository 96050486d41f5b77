#pragma once

#include "admission/callerpatience.h"
#include "admission/returnschedule.h"
#include "admission/waitingqueue.h"
#include "forwarding/routingconfiguration.h"
#include "ports/clock.h"
#include "ports/scheduler.h"

#include <mutex>

namespace Forwarding {

/// Requests of one service that wait in this VM for a slot, and the returns of those that are refused. Thread-safe;
/// no lock is held while a request is started or turned away.
class WaitingRoom : public std::enable_shared_from_this<WaitingRoom> {
public:
    WaitingRoom(const Ports::Clock& clock, Ports::Scheduler& scheduler);

    /// Lets the request wait. Turns away what costs its caller least if there are too many, which may be the request
    /// itself. Room is expected after the given time.
    auto enter(const Admission::WaiterPointer& waiter, Core::Duration roomExpected) -> void;
    auto leave(const Admission::Waiter& waiter) -> void;
    /// Starts the waiting requests for which there is room; called when a slot may have become free.
    auto wake() -> void;
    auto recordStart(const Admission::Demand& demand) -> void;
    /// Returns the time after which a refused caller should come back; none if it should not.
    [[nodiscard]] auto placeReturn(const Admission::ReturnRequest& request, double jitter)
        -> std::optional<Core::Duration>;
    /// Returns the time since the caller of a new request of the route first asked.
    [[nodiscard]] auto recordArrival(const RouteId& route, Core::Duration timeLeft) -> Core::Duration;
    [[nodiscard]] auto isEmpty() const -> bool;

private:
    /// Returns false if the request is no longer in the queue.
    auto claim(const Admission::Waiter& waiter) -> bool;
    auto startReady() -> void;
    auto turnAwayLost() -> void;
    /// Returns true if the queue has to be looked at again because a slot became free meanwhile.
    auto finishWaking(int round) -> bool;
    /// Requires the lock. Zero means that it is not known when there will be room.
    auto noteRoom(Core::Duration expected, Core::Instant now) -> void;
    /// Requires the lock.
    auto armTimer(Core::Instant now) -> void;

    const Ports::Clock& m_clock;
    Ports::Scheduler& m_scheduler;
    mutable std::mutex m_mutex;
    Admission::WaitingQueue m_queue;
    Admission::ReturnSchedule m_returns;
    std::map<RouteId, Admission::CallerPatience> m_patience;
    /// Instant at which room is expected; max() if that is not known.
    Core::Instant m_roomAt = Core::Instant::max();
    Core::Instant m_timerAt = Core::Instant::max();
    std::unique_ptr<Ports::Timer> m_timer;
    bool m_isWaking = false;
    bool m_mustWakeAgain = false;
};

} // namespace Forwarding
