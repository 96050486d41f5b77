#include "eventlog/eventlog.h"

#include "timeline/loglevels.h"
#include "timelinecodec/timelinecodec.h"

#include <easylogging++.h>
#include <utility>

INITIALIZE_EASYLOGGINGPP

namespace EventLog {

namespace {

    auto configureLogger() -> void
    {
        el::Configurations configuration;
        configuration.setToDefault();
        configuration.setGlobally(el::ConfigurationType::Format, "%msg");
        configuration.setGlobally(el::ConfigurationType::ToFile, "false");
        configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
        el::Loggers::reconfigureLogger("default", configuration);
    }

    auto writeLine(const Timeline::Entry& entry) -> void
    {
        const auto line = TimelineCodec::encodeEntry(entry);
        switch (Timeline::logLevelOf(entry.event.kind)) {
        case Ports::LogLevel::Debug:
            LOG(DEBUG) << line;
            return;
        case Ports::LogLevel::Info:
            LOG(INFO) << line;
            return;
        case Ports::LogLevel::Warning:
            LOG(WARNING) << line;
            return;
        case Ports::LogLevel::Error:
            LOG(ERROR) << line;
            return;
        }
    }

} // namespace

EventLog::EventLog(Ports::LogLevel level, std::size_t queueLimit, std::uint32_t requestLinesPerSecond)
    : m_level(level)
    , m_queueLimit(queueLimit)
    , m_requestLinesPerSecond(requestLinesPerSecond)
{
    configureLogger();
    m_writer = std::thread([this] { writeQueuedEntries(); });
}

EventLog::~EventLog()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    m_changed.notify_one();
    m_writer.join();
}

auto EventLog::write(const Timeline::Entry& entry) -> void
{
    if (Timeline::logLevelOf(entry.event.kind) < m_level)
        return;
    {
        const std::lock_guard lock(m_mutex);
        if (!consumeRequestLineQuota(entry)) {
            ++m_suppressed;
            return;
        }
        if (m_queue.size() >= m_queueLimit) {
            ++m_dropped;
            return;
        }
        m_queue.push_back(entry);
    }
    m_changed.notify_one();
}

auto EventLog::consumeRequestLineQuota(const Timeline::Entry& entry) -> bool
{
    if (entry.event.request.value().empty())
        return true;
    // Setting the wall clock forward or back has no effect other than to start a new second.
    const auto currentSecond = std::chrono::floor<std::chrono::seconds>(entry.wall.time_since_epoch());
    if (currentSecond != m_currentSecond) {
        m_currentSecond = currentSecond;
        m_requestLinesInSecond = 0;
    }
    return m_requestLinesInSecond++ < m_requestLinesPerSecond;
}

auto EventLog::writeQueuedEntries() -> void
{
    while (true) {
        std::deque<Timeline::Entry> batch;
        {
            std::unique_lock lock(m_mutex);
            m_changed.wait(lock, [this] { return m_isStopping || !m_queue.empty(); });
            if (m_queue.empty())
                return;
            batch = std::exchange(m_queue, {});
        }
        for (const auto& entry : batch)
            writeLine(entry);
    }
}

} // namespace EventLog
