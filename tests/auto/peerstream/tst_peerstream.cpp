#include "peerstream/peerstreamclient.h"
#include "peerstream/peerstreamserver.h"
#include "runtime/asioruntime.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <condition_variable>
#include <future>
#include <thread>

namespace {

namespace asio = boost::asio;
using Core::ErrorKind;
using Reply = Core::Result<std::string>;

constexpr Core::Millis longTimeout { 10'000 };
constexpr Core::Millis shortTimeout { 100 };

auto loopback(std::uint16_t port) -> Core::Address { return Core::Address("127.0.0.1:" + std::to_string(port)); }

struct TwoEntryVms {
    TwoEntryVms()
    {
        handlers.registerHandler("echo",
            [](std::string payload, const Ports::PeerRouter::Respond& respond) { respond(std::move(payload)); });
        handlers.registerHandler("fail", [](const std::string&, const Ports::PeerRouter::Respond& respond) {
            respond(Core::fail(ErrorKind::Conflict, "the epoch is sealed\n", "take a fresh key"));
        });
        handlers.registerHandler("hold", [this](std::string payload, const Ports::PeerRouter::Respond& respond) {
            const std::lock_guard lock(mutex);
            heldResponses.emplace_back(std::move(payload), respond);
            arrived.notify_all();
        });
        thread = std::thread([this] { runtime.run(); });
    }

    ~TwoEntryVms()
    {
        runtime.stop();
        thread.join();
    }

    auto callAsync(const Core::Address& peer, const std::string& kind, std::string payload, Core::Duration timeout)
        -> std::future<Reply>
    {
        auto promise = std::make_shared<std::promise<Reply>>();
        client.call(peer, { kind, std::move(payload) }, timeout,
            [promise](Reply reply) { promise->set_value(std::move(reply)); });
        return promise->get_future();
    }

    auto call(const std::string& kind, std::string payload, Core::Duration timeout = longTimeout) -> Reply
    {
        return callAsync(loopback(server.port()), kind, std::move(payload), timeout).get();
    }

    auto waitForHeldResponses(std::size_t count) -> void
    {
        std::unique_lock lock(mutex);
        arrived.wait(lock, [&] { return heldResponses.size() >= count; });
    }

    Runtime::AsioRuntime runtime { 2 };
    PeerStream::HandlerTable handlers;
    PeerStream::TrafficCounters traffic;
    PeerStream::PeerStreamServer server { runtime.context(), Core::Address("127.0.0.1:0"), handlers, traffic };
    PeerStream::PeerStreamClient client { runtime.context(), traffic };
    std::mutex mutex;
    std::condition_variable arrived;
    std::vector<std::pair<std::string, Ports::PeerRouter::Respond>> heldResponses;
    std::thread thread;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(TwoEntryVmsAreConnected, TwoEntryVms)

BOOST_AUTO_TEST_SUITE(AMessageIsAnswered)

BOOST_AUTO_TEST_CASE(ThenTheWholePayloadReturns)
{
    BOOST_TEST(call("echo", "").value() == "");
    const std::string large(1'500'000, 'x');
    BOOST_TEST((call("echo", large).value() == large));
}

BOOST_AUTO_TEST_CASE(ThenATypedErrorKeepsItsKindAndRemedy)
{
    const auto reply = call("fail", "x");
    BOOST_REQUIRE(!reply);
    BOOST_TEST((reply.error().kind == ErrorKind::Conflict));
    BOOST_TEST(reply.error().message == "the epoch is sealed?");
    BOOST_TEST(reply.error().remedy == "take a fresh key");
}

BOOST_AUTO_TEST_CASE(ThenAnUnknownKindIsRefused)
{
    const auto reply = call("nothing", "x");
    BOOST_REQUIRE(!reply);
    BOOST_TEST((reply.error().kind == ErrorKind::NotFound));
}

BOOST_AUTO_TEST_CASE(ThenResponsesOutOfOrderReachTheirCalls)
{
    auto first = callAsync(loopback(server.port()), "hold", "first", longTimeout);
    waitForHeldResponses(1);
    auto second = callAsync(loopback(server.port()), "hold", "second", longTimeout);
    waitForHeldResponses(2);
    heldResponses[1].second("answer to " + heldResponses[1].first);
    BOOST_TEST(second.get().value() == "answer to second");
    heldResponses[0].second("answer to " + heldResponses[0].first);
    BOOST_TEST(first.get().value() == "answer to first");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AMessageIsNotAnswered)

BOOST_AUTO_TEST_CASE(ThenTheCallTimesOutAndALateResponseDoesNotAffectOtherCalls)
{
    const auto reply = call("hold", "late", shortTimeout);
    BOOST_REQUIRE(!reply);
    BOOST_TEST((reply.error().kind == ErrorKind::Timeout));
    waitForHeldResponses(1);
    heldResponses[0].second("late answer");
    BOOST_TEST(call("echo", "next").value() == "next");
}

BOOST_AUTO_TEST_CASE(ThenAClosedPortIsUnreachable)
{
    asio::ip::tcp::acceptor unused(runtime.context(), { asio::ip::address_v4::loopback(), 0 });
    const auto port = unused.local_endpoint().port();
    unused.close();
    const auto reply = callAsync(loopback(port), "echo", "x", longTimeout).get();
    BOOST_REQUIRE(!reply);
    BOOST_TEST((reply.error().kind == ErrorKind::Unreachable));
}

BOOST_AUTO_TEST_CASE(ThenAnUnresponsiveConnectionIsDetectedAndTheOutcomeIsUnknown)
{
    // The operating system accepts the connection, but nothing reads from it.
    asio::ip::tcp::acceptor silent(runtime.context(), { asio::ip::address_v4::loopback(), 0 });
    const auto reply = callAsync(loopback(silent.local_endpoint().port()), "echo", "x", longTimeout).get();
    BOOST_REQUIRE(!reply);
    BOOST_TEST((reply.error().kind == ErrorKind::OutcomeUnknown));
    BOOST_TEST(reply.error().message.find("silent") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(ThenAnOversizedMessageIsRejectedBeforeSending)
{
    const auto reply = call("echo", std::string(3'000'000, 'x'));
    BOOST_REQUIRE(!reply);
    BOOST_TEST((reply.error().kind == ErrorKind::TooLarge));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AnUnknownClientSendsMalformedData)

BOOST_AUTO_TEST_CASE(ThenItsConnectionIsClosedAndOthersAreServed)
{
    asio::io_context context;
    asio::ip::tcp::socket unknownClient(context);
    unknownClient.connect({ asio::ip::address_v4::loopback(), server.port() });
    asio::write(unknownClient, asio::buffer(std::string(4096, '\xff')));
    std::array<char, 4096> buffer {};
    boost::system::error_code error;
    while (!error)
        unknownClient.read_some(asio::buffer(buffer), error);
    BOOST_TEST(call("echo", "fine").value() == "fine");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AnEntryVmShutsDown)

BOOST_AUTO_TEST_CASE(ThenOpenMessagesAreAnsweredFirst)
{
    auto open = callAsync(loopback(server.port()), "hold", "open", longTimeout);
    waitForHeldResponses(1);
    std::promise<void> done;
    server.shutDown([&done] { done.set_value(); });
    heldResponses[0].second("whole");
    BOOST_TEST(open.get().value() == "whole");
    heldResponses.clear();
    done.get_future().get();
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
