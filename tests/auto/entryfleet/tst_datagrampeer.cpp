#include "datagrampeer/datagrampeer.h"
#include "runtime/asioruntime.h"
#include "support/heldthreads.h"
#include "support/roundcounter.h"
#include "support/runtimethread.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/test/unit_test.hpp>
#include <future>

namespace {

using Udp = boost::asio::ip::udp;

constexpr int heartbeatCount = 48;
constexpr std::chrono::seconds patience { 10 };

struct BusyVm {
    /// Returns an address whose port is free.
    static auto freeAddress() -> Core::Address
    {
        boost::asio::io_context context;
        const Udp::socket socket(context, { boost::asio::ip::address_v4::loopback(), 0 });
        return Core::Address("127.0.0.1:" + std::to_string(socket.local_endpoint().port()));
    }

    auto sendHeartbeats() const -> void
    {
        const auto port = std::stoi(address.value().substr(address.value().find(':') + 1));
        const Udp::endpoint target(boost::asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(port));
        const auto payload
            = DatagramPeer::encodeHeartbeat({ Core::EntryVmId("atl-1"), Core::ProcessStartId(77), false });
        boost::asio::io_context context;
        Udp::socket socket(context, Udp::v4());
        for (int heartbeat = 0; heartbeat < heartbeatCount; ++heartbeat)
            socket.send_to(boost::asio::buffer(payload), target);
    }

    Runtime::AsioRuntime runtime { 1 };
    TestSupport::RoundCounter counter { runtime };
    const Core::Address address = freeAddress();
    DatagramPeer::DatagramPeer peer { runtime.context(), address };
    TestSupport::RuntimeThread thread { runtime };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ABusyVm, BusyVm)

BOOST_AUTO_TEST_SUITE(ThatHeartbeatsWaitFor)

/// Incident of issue 47: one datagram was received for each round of the process's events.
BOOST_AUTO_TEST_CASE(ReadsThemInFewRoundsOfItsEvents)
{
    int unread = heartbeatCount;
    std::promise<void> allRead;
    peer.start([&](const EntryFleet::Heartbeat&) {
        if (--unread > 0)
            return;
        counter.stop();
        allRead.set_value();
    });
    auto release = TestSupport::holdThreads(runtime, 1);
    sendHeartbeats();
    counter.start();
    release.set_value();
    BOOST_REQUIRE((allRead.get_future().wait_for(patience) == std::future_status::ready));
    BOOST_TEST(counter.rounds() < heartbeatCount / 2);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
