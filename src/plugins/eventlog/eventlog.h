#pragma once

#include "ports/logcontrol.h"
#include "timeline/entry.h"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <limits>
#include <mutex>
#include <thread>

namespace EventLog {

/// Maximum number of entries queued for a slow output. Further entries are dropped and counted.
inline constexpr std::size_t defaultQueueLimit = 16'384;

/// Maximum number of lines per second about individual requests. Further lines are suppressed and counted. All other
/// lines are rare and are not limited.
inline constexpr std::uint32_t defaultRequestLinesPerSecond = 200;

/// Writes each entry to standard output as one line of JSON, on a dedicated thread.
class EventLog : public Timeline::EntrySink, public Ports::LogControl {
public:
    explicit EventLog(Ports::LogLevel level, std::size_t queueLimit = defaultQueueLimit,
        std::uint32_t requestLinesPerSecond = std::numeric_limits<std::uint32_t>::max());
    /// Writes all queued entries before returning.
    ~EventLog() override;
    EventLog(const EventLog&) = delete;
    auto operator=(const EventLog&) -> EventLog& = delete;

    auto write(const Timeline::Entry& entry) -> void override;
    [[nodiscard]] auto level() const -> Ports::LogLevel override { return m_level; }
    auto setLevel(Ports::LogLevel level) -> void override { m_level = level; }
    /// Returns the number of entries dropped because the output was slow and the queue was full.
    [[nodiscard]] auto dropped() const -> std::uint64_t { return m_dropped; }
    /// Returns the number of request lines suppressed by the limit per second.
    [[nodiscard]] auto suppressed() const -> std::uint64_t { return m_suppressed; }

private:
    auto writeQueuedEntries() -> void;
    /// Counts the entry towards the limit of request lines per second. Returns false if the limit is reached, and
    /// always true for entries without a request. The caller must hold m_mutex.
    auto consumeRequestLineQuota(const Timeline::Entry& entry) -> bool;

    std::atomic<Ports::LogLevel> m_level;
    std::size_t m_queueLimit;
    const std::uint32_t m_requestLinesPerSecond;
    std::atomic<std::uint64_t> m_suppressed { 0 };
    std::chrono::seconds m_currentSecond {};
    std::uint32_t m_requestLinesInSecond = 0;
    std::atomic<std::uint64_t> m_dropped { 0 };
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<Timeline::Entry> m_queue;
    bool m_isStopping = false;
    std::thread m_writer;
};

} // namespace EventLog
