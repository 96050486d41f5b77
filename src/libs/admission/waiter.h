#pragma once

#include "admission/demand.h"

#include <memory>

namespace Admission {

enum class TurnAwayReason : std::uint8_t {
    /// Others that cost their callers more needed the place.
    QueueFull,
    /// No slot became free in time.
    NoRoomInTime,
};

/// Request that waits for a slot. Only demand() and hasLeft() may be called while a lock of the queue is held.
class Waiter {
public:
    virtual ~Waiter() = default;
    [[nodiscard]] virtual auto demand() const -> const Demand& = 0;
    /// Returns true if nobody waits for the answer any more.
    [[nodiscard]] virtual auto hasLeft() const -> bool = 0;
    /// Starts the request if there is room for it, or ends it. Returns false if it has to wait on.
    virtual auto tryStart() -> bool = 0;
    /// Returns the time after which room is expected, as of the last try.
    [[nodiscard]] virtual auto roomExpected() const -> Core::Duration = 0;
    /// Ends the request as not run.
    virtual auto turnAway(TurnAwayReason reason) -> void = 0;
};

using WaiterPointer = std::shared_ptr<Waiter>;

} // namespace Admission
