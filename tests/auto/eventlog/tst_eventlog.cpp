#include "eventlog/eventlog.h"

#include <boost/test/unit_test.hpp>
#include <future>
#include <iostream>
#include <streambuf>

namespace {

/// Captures std::cout. Blocks every write until unblock() is called.
class BlockingOutput : public std::streambuf {
public:
    BlockingOutput()
        : m_previous(std::cout.rdbuf(this))
    {
    }
    ~BlockingOutput() override { std::cout.rdbuf(m_previous); }
    BlockingOutput(const BlockingOutput&) = delete;
    auto operator=(const BlockingOutput&) -> BlockingOutput& = delete;

    auto unblock() -> void { m_unblocked.set_value(); }
    auto text() const -> const std::string& { return m_text; }

protected:
    auto overflow(int character) -> int override
    {
        m_isUnblocked.wait();
        m_text += static_cast<char>(character);
        return character;
    }

private:
    std::streambuf* m_previous;
    std::promise<void> m_unblocked;
    std::shared_future<void> m_isUnblocked = m_unblocked.get_future().share();
    std::string m_text;
};

auto entry(const std::string& kind, const std::string& request) -> Timeline::Entry
{
    return { {}, {}, Core::EntryVmId("vm-1"), { Ports::EventKind(kind), Core::RequestId(request), {} } };
}

auto occurrenceCount(const std::string& text, const std::string& part) -> std::size_t
{
    std::size_t count = 0;
    for (auto position = text.find(part); position != std::string::npos; position = text.find(part, position + 1))
        ++count;
    return count;
}

} // namespace

BOOST_AUTO_TEST_SUITE(TheLogOutputIsSlow)

BOOST_AUTO_TEST_CASE(ThenWritersDoNotBlockAndDroppedLinesAreCounted)
{
    BlockingOutput output;
    {
        EventLog::EventLog log(Ports::LogLevel::Info, 10);
        for (int index = 0; index < 100; ++index)
            log.write(entry("request.refused", "r-" + std::to_string(index)));
        BOOST_TEST(log.dropped() >= 80U);
        BOOST_TEST(log.dropped() <= 90U);
        output.unblock();
    }
    BOOST_TEST(occurrenceCount(output.text(), "\n") >= 10U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ManyRequestsAreLoggedInOneSecond)

BOOST_AUTO_TEST_CASE(ThenTheirLinesAreLimitedAndAllOthersAreWritten)
{
    BlockingOutput output;
    output.unblock();
    {
        EventLog::EventLog log(Ports::LogLevel::Info, EventLog::defaultQueueLimit, 20);
        for (int index = 0; index < 100; ++index) {
            log.write(entry("request.refused", "r-" + std::to_string(index)));
            log.write(entry("upstream.left", ""));
        }
        BOOST_TEST(log.suppressed() == 80U);
        // The limit applies to each second separately.
        auto later = entry("request.refused", "r-later");
        later.wall += std::chrono::seconds(1);
        log.write(later);
        BOOST_TEST(log.suppressed() == 80U);
    }
    BOOST_TEST(occurrenceCount(output.text(), "request.refused") == 21U);
    BOOST_TEST(occurrenceCount(output.text(), "upstream.left") == 100U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(TheLevelIsChanged)

BOOST_AUTO_TEST_CASE(ThenLessSevereEventsAreNotWritten)
{
    BlockingOutput output;
    output.unblock();
    {
        EventLog::EventLog log(Ports::LogLevel::Warning);
        log.write(entry("process.started", ""));
        log.write(entry("configuration.refused", "\xff"));
        log.setLevel(Ports::LogLevel::Debug);
        log.write(entry("request.answered", "r-1"));
    }
    BOOST_TEST(occurrenceCount(output.text(), "process.started") == 0U);
    BOOST_TEST(occurrenceCount(output.text(), "\"level\":\"warning\"") == 1U);
    BOOST_TEST(occurrenceCount(output.text(), "\"level\":\"debug\"") == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
