#include "forwardinghost/delaymonitor.h"
#include "support/virtualtime.h"

#include <boost/test/unit_test.hpp>

namespace {

class DelayRecorder : public Ports::EventSink {
public:
    auto record(Ports::Event event) -> void override { delays.push_back(event.fields.front().value); }

    std::vector<std::string> delays;
};

struct MonitoredProcess {
    auto handleLate(Core::Millis delay) -> void { monitor.recordHandled(time.now() - delay); }

    TestSupport::VirtualTime time;
    DelayRecorder events;
    ForwardingHost::DelayMonitor monitor { time, events };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ADelayMonitor, MonitoredProcess)

BOOST_AUTO_TEST_CASE(RecordsOnlyLargeDelays)
{
    handleLate(Core::Millis(20));
    BOOST_TEST(events.delays.empty());
    handleLate(Core::Millis(700));
    BOOST_TEST(events.delays == std::vector<std::string> { "700" }, boost::test_tools::per_element());
    BOOST_TEST(monitor.highestDelay().count() == 700);
}

BOOST_AUTO_TEST_CASE(RecordsAtMostOneDelayInASecond)
{
    handleLate(Core::Millis(300));
    handleLate(Core::Millis(900));
    BOOST_TEST(events.delays.size() == 1U);
    time.runFor(Core::Millis(1000));
    handleLate(Core::Millis(300));
    BOOST_TEST(events.delays.size() == 2U);
    BOOST_TEST(monitor.highestDelay().count() == 900);
}

BOOST_AUTO_TEST_SUITE_END()
