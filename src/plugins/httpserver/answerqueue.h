#pragma once

#include "httpserver/pendinganswer.h"

#include <deque>

namespace HttpServer {

namespace detail {

    /// Requests of a connection that were started, in the order in which they are answered. Decides whether another one
    /// may start beside them.
    class AnswerQueue {
    public:
        using Pointer = std::shared_ptr<PendingAnswer>;

        [[nodiscard]] auto isEmpty() const -> bool { return m_answers.empty(); }
        [[nodiscard]] auto size() const -> std::size_t { return m_answers.size(); }
        [[nodiscard]] auto first() const -> const Pointer& { return m_answers.front(); }
        auto add(Pointer answer) -> void;
        auto removeFirst() -> void;
        /// Returns true if a request that may overlap others can start behind the ones in the queue.
        [[nodiscard]] auto takesOverlapping(const Limits& limits) const -> bool;
        /// Tells the handlers of requests without a reply that the client has left.
        auto notifyDisconnect() -> void;
        /// Removes all requests, because the connection has ended.
        auto abandon() -> void;

    private:
        std::deque<Pointer> m_answers;
    };

} // namespace detail

} // namespace HttpServer
