#pragma once

#include "dispatch/pendingrequest.h"

#include <map>
#include <optional>
#include <set>

namespace Dispatch {

/// Queue of the waiting requests of one service. Serves callers round-robin; among callers with the same number of
/// turns, and within one caller, the request with the earliest deadline goes first.
class FairQueue {
public:
    auto push(PendingPointer pending) -> void;
    /// Precondition: not empty.
    auto pop() -> PendingPointer;
    /// Removes the request with the latest deadline of the caller that has the most waiting requests.
    /// Precondition: not empty.
    auto popFromLongestQueue() -> PendingPointer;
    /// Removes and returns the requests whose deadline has passed.
    auto popExpired(Core::Instant now) -> std::vector<PendingPointer>;

    [[nodiscard]] auto size() const -> std::size_t { return m_byDeadline.size(); }
    [[nodiscard]] auto isEmpty() const -> bool { return m_byDeadline.empty(); }
    [[nodiscard]] auto waitingCount(const Core::CallerId& caller) const -> std::size_t;
    /// Returns the number of waiting requests of the caller that has the most.
    [[nodiscard]] auto longestQueueLength() const -> std::size_t;
    /// Returns an upper bound for the number of requests that would be served before a new one of this caller.
    [[nodiscard]] auto requestsAhead(const Core::CallerId& caller) const -> std::size_t;
    [[nodiscard]] auto earliestDeadline() const -> std::optional<Core::Instant>;

private:
    using Position = std::pair<Core::Instant, std::uint64_t>;
    struct CallerQueue {
        std::map<Position, PendingPointer> waiting;
        std::uint64_t turn = 0;
    };
    using Callers = std::map<Core::CallerId, CallerQueue>;
    struct Turn {
        std::uint64_t turn = 0;
        Position head;
        Core::CallerId caller;

        friend auto operator<=>(const Turn&, const Turn&) -> std::strong_ordering = default;
    };

    /// Takes the position by value, because remove() erases the entry that holds it.
    auto remove(Callers::iterator caller, Position position) -> PendingPointer;
    auto removeFromIndexes(const Callers::value_type& caller) -> void;
    auto addToIndexes(const Callers::value_type& caller) -> void;

    Callers m_callers;
    std::set<Turn> m_turns;
    std::set<std::pair<std::size_t, Core::CallerId>> m_queueLengths;
    std::map<Position, Core::CallerId> m_byDeadline;
    std::uint64_t m_currentTurn = 0;
    std::uint64_t m_nextSequence = 0;
};

} // namespace Dispatch
