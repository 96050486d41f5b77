#include "peerstream/peerstreamclient.h"
#include "peerstream/peerstreamserver.h"
#include "runtime/asioruntime.h"

#include <boost/test/unit_test.hpp>
#include <future>
#include <mutex>
#include <thread>

namespace {

/// Returns a fixed stamp and records the observed stamps.
class RecordingClock : public Ports::CausalClock {
public:
    explicit RecordingClock(std::int64_t microseconds)
        : m_time { Core::WallTime(std::chrono::microseconds(microseconds)), 0 }
    {
    }

    auto stamp() -> Core::HybridTime override { return m_time; }
    auto observe(const Core::HybridTime& remote) -> void override
    {
        const std::lock_guard lock(m_mutex);
        m_observed.push_back(toString(remote));
    }
    auto observed() -> std::vector<std::string>
    {
        const std::lock_guard lock(m_mutex);
        return m_observed;
    }

private:
    Core::HybridTime m_time;
    std::mutex m_mutex;
    std::vector<std::string> m_observed;
};

} // namespace

BOOST_AUTO_TEST_SUITE(AMessagePassesBetweenTwoEntryVms)

BOOST_AUTO_TEST_CASE(ThenEachObservesTheClockOfTheOther)
{
    RecordingClock clientClock(100);
    RecordingClock serverClock(200);
    Runtime::AsioRuntime runtime(1);
    PeerStream::HandlerTable handlers;
    PeerStream::TrafficCounters traffic;
    handlers.registerHandler(
        "echo", [](std::string payload, const Ports::PeerRouter::Respond& respond) { respond(std::move(payload)); });
    PeerStream::PeerStreamServer server(
        runtime.context(), Core::Address("127.0.0.1:0"), handlers, traffic, &serverClock);
    PeerStream::PeerStreamClient client(runtime.context(), traffic, &clientClock);
    std::thread thread([&runtime] { runtime.run(); });
    std::promise<Core::Result<std::string>> reply;
    client.call(Core::Address("127.0.0.1:" + std::to_string(server.port())), { "echo", "x" }, Core::Millis(10'000),
        [&reply](Core::Result<std::string> result) { reply.set_value(std::move(result)); });
    BOOST_TEST(reply.get_future().get().has_value());
    runtime.stop();
    thread.join();
    BOOST_TEST(serverClock.observed() == std::vector<std::string> { "100.0" });
    BOOST_TEST(clientClock.observed() == std::vector<std::string> { "200.0" });
}

BOOST_AUTO_TEST_SUITE_END()
