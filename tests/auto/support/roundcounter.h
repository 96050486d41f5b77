#pragma once

#include "ports/scheduler.h"

#include <atomic>

namespace TestSupport {

/// Counts the rounds of a single-threaded runtime's events: in each, everything is handled that was ready before it.
class RoundCounter {
public:
    explicit RoundCounter(Ports::Scheduler& runtime)
        : m_runtime(runtime)
    {
    }

    auto start() -> void
    {
        m_runtime.post([this] { countRound(); });
    }
    auto stop() -> void { m_isStopped = true; }
    [[nodiscard]] auto rounds() const -> int { return m_rounds; }

private:
    auto countRound() -> void
    {
        if (m_isStopped)
            return;
        ++m_rounds;
        start();
    }

    Ports::Scheduler& m_runtime;
    std::atomic<bool> m_isStopped { false };
    std::atomic<int> m_rounds { 0 };
};

} // namespace TestSupport
