#include "httpserver/answerqueue.h"

#include <numeric>

namespace HttpServer {

namespace detail {

    auto AnswerQueue::add(Pointer answer) -> void { m_answers.push_back(std::move(answer)); }

    auto AnswerQueue::removeFirst() -> void { m_answers.pop_front(); }

    auto AnswerQueue::takesOverlapping(const Limits& limits) const -> bool
    {
        if (m_answers.empty() || m_answers.size() >= limits.maximumPipelined)
            return false;
        // Only the last request can end the connection or forbid an overlap: nothing is started behind such a one.
        const auto& last = m_answers.back()->request();
        if (!last.mayOverlap || !last.keepsAlive)
            return false;
        const auto waiting = std::accumulate(m_answers.begin(), m_answers.end(), std::uint64_t { 0 },
            [](std::uint64_t sum, const Pointer& answer) { return sum + answer->size(); });
        return waiting < limits.maximumWaitingResponses.value();
    }

    auto AnswerQueue::notifyDisconnect() -> void
    {
        const auto answers = m_answers;
        for (const auto& answer : answers) {
            if (!answer->isDelivered())
                answer->client()->notifyDisconnect();
        }
    }

    auto AnswerQueue::abandon() -> void
    {
        notifyDisconnect();
        m_answers.clear();
    }

} // namespace detail

} // namespace HttpServer
