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
        removeFromIndexes(*caller);
    m_byDeadline.emplace(position, caller->first);
    caller->second.waiting.emplace(position, std::move(pending));
    addToIndexes(*caller);
}

auto FairQueue::pop() -> PendingPointer
{
    const auto next = *m_turns.begin();
    m_currentTurn = std::max(m_currentTurn, next.turn);
    const auto caller = m_callers.find(next.caller);
    removeFromIndexes(*caller);
    ++caller->second.turn;
    addToIndexes(*caller);
    return remove(caller, next.head);
}

auto FairQueue::popFromLongestQueue() -> PendingPointer
{
    const auto caller = m_callers.find(m_queueLengths.rbegin()->second);
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

auto FairQueue::waitingCount(const Core::CallerId& caller) const -> std::size_t
{
    const auto found = m_callers.find(caller);
    return found == m_callers.end() ? 0 : found->second.waiting.size();
}

auto FairQueue::longestQueueLength() const -> std::size_t
{
    return m_queueLengths.empty() ? 0 : m_queueLengths.rbegin()->first;
}

auto FairQueue::requestsAhead(const Core::CallerId& caller) const -> std::size_t
{
    return std::min(size(), (waitingCount(caller) + 1) * m_callers.size());
}

auto FairQueue::earliestDeadline() const -> std::optional<Core::Instant>
{
    if (m_byDeadline.empty())
        return std::nullopt;
    return m_byDeadline.begin()->first.first;
}

auto FairQueue::remove(Callers::iterator caller, Position position) -> PendingPointer
{
    removeFromIndexes(*caller);
    const auto found = caller->second.waiting.find(position);
    auto pending = std::move(found->second);
    caller->second.waiting.erase(found);
    m_byDeadline.erase(position);
    if (caller->second.waiting.empty())
        m_callers.erase(caller);
    else
        addToIndexes(*caller);
    return pending;
}

auto FairQueue::removeFromIndexes(const Callers::value_type& caller) -> void
{
    const auto& [id, queue] = caller;
    m_turns.erase({ queue.turn, queue.waiting.begin()->first, id });
    m_queueLengths.erase({ queue.waiting.size(), id });
}

auto FairQueue::addToIndexes(const Callers::value_type& caller) -> void
{
    const auto& [id, queue] = caller;
    m_turns.insert({ queue.turn, queue.waiting.begin()->first, id });
    m_queueLengths.insert({ queue.waiting.size(), id });
}

} // namespace Dispatch
