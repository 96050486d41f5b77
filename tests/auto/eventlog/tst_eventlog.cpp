#include "eventlog/eventlog.h"

#include <boost/test/unit_test.hpp>
#include <future>
#include <iostream>
#include <streambuf>

namespace {

/// Standard output that takes nothing until it is opened.
class SlowOutput : public std::streambuf {
public:
    SlowOutput()
        : m_previous(std::cout.rdbuf(this))
    {
    }
    ~SlowOutput() override { std::cout.rdbuf(m_previous); }
    SlowOutput(const SlowOutput&) = delete;
    auto operator=(const SlowOutput&) -> SlowOutput& = delete;

    auto open() -> void { m_opened.set_value(); }
    auto text() const -> const std::string& { return m_text; }

protected:
    auto overflow(int character) -> int override
    {
        m_isOpen.wait();
        m_text += static_cast<char>(character);
        return character;
    }

private:
    std::streambuf* m_previous;
    std::promise<void> m_opened;
    std::shared_future<void> m_isOpen = m_opened.get_future().share();
    std::string m_text;
};

auto entry(const std::string& kind, const std::string& request) -> Timeline::Entry
{
    return { {}, {}, Core::EntryVmId("vm-1"), { Ports::EventKind(kind), Core::RequestId(request), {} } };
}

auto countOf(const std::string& text, const std::string& part) -> std::size_t
{
    std::size_t count = 0;
    for (auto place = text.find(part); place != std::string::npos; place = text.find(part, place + 1))
        ++count;
    return count;
}

} // namespace

BOOST_AUTO_TEST_SUITE(TheReaderOfTheLogIsSlow)

BOOST_AUTO_TEST_CASE(ThenNobodyWaitsAndDroppedLinesAreCounted)
{
    SlowOutput output;
    {
        EventLog::EventLog log(Ports::LogLevel::Info, 10);
        for (int index = 0; index < 100; ++index)
            log.write(entry("request.refused", "r-" + std::to_string(index)));
        BOOST_TEST(log.dropped() >= 80U);
        BOOST_TEST(log.dropped() <= 90U);
        output.open();
    }
    BOOST_TEST(countOf(output.text(), "\n") >= 10U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AFloodOfRequestsComes)

BOOST_AUTO_TEST_CASE(ThenTheirLinesAreBoundedAndAllOthersWritten)
{
    SlowOutput output;
    output.open();
    {
        EventLog::EventLog log(Ports::LogLevel::Info, EventLog::defaultQueueLimit, 20);
        for (int index = 0; index < 100; ++index) {
            log.write(entry("request.refused", "r-" + std::to_string(index)));
            log.write(entry("upstream.left", ""));
        }
        BOOST_TEST(log.suppressed() == 80U);
        // The next second has an allowance of its own.
        auto later = entry("request.refused", "r-later");
        later.wall += std::chrono::seconds(1);
        log.write(later);
        BOOST_TEST(log.suppressed() == 80U);
    }
    BOOST_TEST(countOf(output.text(), "request.refused") == 21U);
    BOOST_TEST(countOf(output.text(), "upstream.left") == 100U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(TheLevelIsChanged)

BOOST_AUTO_TEST_CASE(ThenLessSevereEventsAreLeftOut)
{
    SlowOutput output;
    output.open();
    {
        EventLog::EventLog log(Ports::LogLevel::Warning);
        log.write(entry("process.started", ""));
        log.write(entry("configuration.refused", "\xff"));
        log.setLevel(Ports::LogLevel::Debug);
        log.write(entry("request.answered", "r-1"));
    }
    BOOST_TEST(countOf(output.text(), "process.started") == 0U);
    BOOST_TEST(countOf(output.text(), "\"level\":\"warning\"") == 1U);
    BOOST_TEST(countOf(output.text(), "\"level\":\"debug\"") == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
