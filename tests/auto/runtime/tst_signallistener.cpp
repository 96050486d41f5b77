#include "runtime/asioruntime.h"
#include "runtime/signallistener.h"

#include <boost/test/unit_test.hpp>
#include <csignal>

namespace {

struct Delivery {
    int signal = 0;
    Core::Instant deliveredAt;
};

/// Collects signals; the test raises them in this process.
struct ListeningProcess {
    /// Runs the events that wait, until the given number of signals has been handled.
    auto handleSignals(std::size_t count) -> void
    {
        listener.start([this, count](int signal, Core::Instant deliveredAt) {
            deliveries.push_back({ signal, deliveredAt });
            if (deliveries.size() == count)
                runtime.stop();
        });
        runtime.run();
    }

    Runtime::SystemClock clock;
    Runtime::AsioRuntime runtime { 1 };
    Runtime::SignalListener listener { runtime.context(), { SIGTERM, SIGHUP } };
    std::vector<Delivery> deliveries;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AProcessThatHandlesItsEventsLate, ListeningProcess)

/// A stop counted its time from the moment at which the signal was handled, and outlived the time that it had.
BOOST_AUTO_TEST_CASE(LearnsWhenASignalWasDelivered)
{
    const auto before = clock.now();
    ::raise(SIGTERM);
    const auto after = clock.now();
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    handleSignals(1);
    BOOST_TEST(deliveries.front().signal == SIGTERM);
    BOOST_TEST((deliveries.front().deliveredAt >= before && deliveries.front().deliveredAt <= after));
}

BOOST_AUTO_TEST_CASE(LearnsOfEachSignalInTheirOrder)
{
    ::raise(SIGHUP);
    ::raise(SIGTERM);
    ::raise(SIGTERM);
    handleSignals(3);
    BOOST_TEST(deliveries.at(0).signal == SIGHUP);
    BOOST_TEST(deliveries.at(1).signal == SIGTERM);
    BOOST_TEST(deliveries.at(2).signal == SIGTERM);
}

BOOST_AUTO_TEST_SUITE_END()
