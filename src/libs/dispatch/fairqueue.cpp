#include "dispatch/fairqueue.h"

#include <algorithm>

namespace Dispatch {

auto FairQueue::push(PendingPointer pending) -> void
{
    const Position position { pending->request.deadline, m_nextSequence++ };
    const auto [caller, isNew] = m_callers.try_emplace(pending->request.caller);
    if (isNew)
        caller->second.turn = m_currentTurn;
    else
        unlist(*caller);
    m_byDeadline.emplace(position, caller->first);
    caller->second.waiting.emplace(position, std::move(pending));
    list(*caller);
}

auto FairQueue::pop() -> PendingPointer
{
    const auto next = *m_turns.begin();
    m_currentTurn = std::max(m_currentTurn, next.turn);
    const auto caller = m_callers.find(next.caller);
    unlist(*caller);
    ++caller->second.turn;
    list(*caller);
    return remove(caller, next.head);
}

auto FairQueue::popFromLongestCaller() -> PendingPointer
{
    const auto caller = m_callers.find(m_lengths.rbegin()->second);
    return remove(caller, caller->second.waiting.rbegin()->first);
}

auto FairQueue::popExpired(Core::Instant now) -> std::vector<PendingPointer>
{
    std::vector<PendingPointer> expired;
    while (!m_byDeadline.empty() && m_byDeadline.begin()->first.first <= now) {
        const auto position = m_byDeadline.begin()->first;
        expired.push_back(remove(m_callers.find(m_byDeadline.begin()->second), position));
    }
    return expired;
}

auto FairQueue::waitingOf(const Core::CallerId& caller) const -> std::size_t
{
    const auto found = m_callers.find(caller);
    return found == m_callers.end() ? 0 : found->second.waiting.size();
}

auto FairQueue::longestCaller() const -> std::size_t { return m_lengths.empty() ? 0 : m_lengths.rbegin()->first; }

auto FairQueue::aheadOf(const Core::CallerId& caller) const -> std::size_t
{
    return std::min(size(), (waitingOf(caller) + 1) * m_callers.size());
}

auto FairQueue::earliestDeadline() const -> std::optional<Core::Instant>
{
    if (m_byDeadline.empty())
        return std::nullopt;
    return m_byDeadline.begin()->first.first;
}

auto FairQueue::remove(Callers::iterator caller, Position position) -> PendingPointer
{
    unlist(*caller);
    const auto found = caller->second.waiting.find(position);
    auto pending = std::move(found->second);
    caller->second.waiting.erase(found);
    m_byDeadline.erase(position);
    if (caller->second.waiting.empty())
        m_callers.erase(caller);
    else
        list(*caller);
    return pending;
}

auto FairQueue::unlist(const Callers::value_type& caller) -> void
{
    const auto& [id, queue] = caller;
    m_turns.erase({ queue.turn, queue.waiting.begin()->first, id });
    m_lengths.erase({ queue.waiting.size(), id });
}

auto FairQueue::list(const Callers::value_type& caller) -> void
{
    const auto& [id, queue] = caller;
    m_turns.insert({ queue.turn, queue.waiting.begin()->first, id });
    m_lengths.insert({ queue.waiting.size(), id });
}

} // namespace Dispatch
