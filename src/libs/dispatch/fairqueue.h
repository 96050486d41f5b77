#pragma once

#include "dispatch/pendingrequest.h"

#include <map>
#include <optional>
#include <set>

namespace Dispatch {

/// Waiting requests of one service. Callers take turns; among callers with equally many turns, and within a caller,
/// the earliest deadline goes first.
class FairQueue {
public:
    auto push(PendingPointer pending) -> void;
    /// Precondition: not empty.
    auto pop() -> PendingPointer;
    /// Removes the request with the latest deadline of the caller with the most waiting. Precondition: not empty.
    auto popFromLongestCaller() -> PendingPointer;
    auto popExpired(Core::Instant now) -> std::vector<PendingPointer>;

    [[nodiscard]] auto size() const -> std::size_t { return m_byDeadline.size(); }
    [[nodiscard]] auto isEmpty() const -> bool { return m_byDeadline.empty(); }
    [[nodiscard]] auto waitingOf(const Core::CallerId& caller) const -> std::size_t;
    [[nodiscard]] auto longestCaller() const -> std::size_t;
    /// Bound for the requests that would be served before a new one of this caller.
    [[nodiscard]] auto aheadOf(const Core::CallerId& caller) const -> std::size_t;
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

    /// The position is a copy: the entry that it is read from goes away.
    auto remove(Callers::iterator caller, Position position) -> PendingPointer;
    auto unlist(const Callers::value_type& caller) -> void;
    auto list(const Callers::value_type& caller) -> void;

    Callers m_callers;
    std::set<Turn> m_turns;
    std::set<std::pair<std::size_t, Core::CallerId>> m_lengths;
    std::map<Position, Core::CallerId> m_byDeadline;
    std::uint64_t m_currentTurn = 0;
    std::uint64_t m_nextSequence = 0;
};

} // namespace Dispatch
