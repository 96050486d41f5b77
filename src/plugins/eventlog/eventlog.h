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

/// Entries that may wait for a slow output before further ones are dropped and counted.
inline constexpr std::size_t defaultQueueLimit = 16'384;

/// Lines about single requests that may be written in a second; further ones are left out and counted. All other lines
/// are rare and never left out for this.
inline constexpr std::uint32_t defaultRequestLinesPerSecond = 200;

/// Writes each entry to standard output as one line of JSON, from a thread of its own.
class EventLog : public Timeline::EntrySink, public Ports::LogControl {
public:
    explicit EventLog(Ports::LogLevel level, std::size_t queueLimit = defaultQueueLimit,
        std::uint32_t requestLinesPerSecond = std::numeric_limits<std::uint32_t>::max());
    /// Writes what waits.
    ~EventLog() override;
    EventLog(const EventLog&) = delete;
    auto operator=(const EventLog&) -> EventLog& = delete;

    auto write(const Timeline::Entry& entry) -> void override;
    [[nodiscard]] auto level() const -> Ports::LogLevel override { return m_level; }
    auto setLevel(Ports::LogLevel level) -> void override { m_level = level; }
    /// Entries that were dropped because the output was slow.
    [[nodiscard]] auto dropped() const -> std::uint64_t { return m_dropped; }
    /// Lines about requests that were left out because there were too many in a second.
    [[nodiscard]] auto suppressed() const -> std::uint64_t { return m_suppressed; }

private:
    auto writeWaiting() -> void;
    /// Counts a line of a request into the current second; false when there are enough. Needs the lock.
    auto takeRequestLine(const Timeline::Entry& entry) -> bool;

    std::atomic<Ports::LogLevel> m_level;
    std::size_t m_queueLimit;
    const std::uint32_t m_requestLinesPerSecond;
    std::atomic<std::uint64_t> m_suppressed { 0 };
    std::chrono::seconds m_second {};
    std::uint32_t m_linesInSecond = 0;
    std::atomic<std::uint64_t> m_dropped { 0 };
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<Timeline::Entry> m_queue;
    bool m_isStopping = false;
    std::thread m_writer;
};

} // namespace EventLog
