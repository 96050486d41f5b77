#include "relaypeer/relaycodec.h"
#include "relaypeer/relaypeer.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <random>

namespace {

/// Calls the handlers synchronously, or returns the failure or the reply that the test has set.
class DirectTransport : public Ports::PeerTransport, public Ports::PeerRouter {
public:
    auto call(const Core::Address&, Ports::PeerMessage message, Core::Duration, ReplyCallback callback) -> void override
    {
        if (failure)
            callback(tl::unexpected(*failure));
        else if (reply)
            callback(*reply);
        else
            handlers.at(message.kind)(corruptedPayload ? *corruptedPayload : message.payload, callback);
    }
    auto registerHandler(std::string kind, Handler handler) -> void override { handlers[kind] = std::move(handler); }

    std::optional<Core::Error> failure;
    std::optional<std::string> reply;
    std::optional<std::string> corruptedPayload;
    std::map<std::string, Handler> handlers;
};

class EchoReceiver : public Steering::RelayHandler, public Steering::CreditHandler {
public:
    auto accept(Steering::RelayCall call, Core::ReplyCallback callback) -> void override
    {
        received = call;
        callback(Core::Answer { call.request.id, Core::UpstreamId("u"), 200, "text/plain", call.request.body });
    }
    auto grant(const Steering::CreditRequest& request) -> Steering::CreditGrant override
    {
        return { Steering::GrantId(~0ULL), request.wanted, Core::Millis(500) };
    }

    Steering::RelayCall received;
};

auto bookingCall() -> Steering::RelayCall
{
    Steering::RelayCall call;
    call.request.id = Core::RequestId("r-1");
    call.request.service = Core::ServiceId("booking");
    call.request.caller = Core::CallerId("desk");
    call.request.key = *Core::parseRequestKey("vm-1:00000000000000000000000000000001:1::"
                                              "00000000000000000000000000000000:k1");
    call.request.operation = "/hold";
    call.request.body = std::string("\xff\x00pegs", 6);
    call.request.hops = 1;
    call.timeLeft = Core::Millis(250);
    call.source = Core::FailureDomainId("sav-1");
    call.attempt = Steering::AttemptId(~0ULL);
    call.credit = Steering::CreditId { Steering::GrantId(5), 2 };
    return call;
}

struct TwoEntryVms {
    TwoEntryVms() { RelayPeer::registerRelayHandlers(transport, receiver, receiver); }

    auto relay() -> void
    {
        peer.relay({}, bookingCall(), [this](Steering::RelayResult value) { result = std::move(value); });
    }

    DirectTransport transport;
    EchoReceiver receiver;
    RelayPeer::RelayPeer peer { transport };
    std::optional<Steering::RelayResult> result;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(BetweenTwoEntryVms, TwoEntryVms)

BOOST_AUTO_TEST_SUITE(ARelayedRequest)

BOOST_AUTO_TEST_CASE(ArrivesUnchanged)
{
    relay();
    BOOST_TEST((receiver.received.request.key == bookingCall().request.key));
    BOOST_TEST((receiver.received.credit == bookingCall().credit));
    BOOST_TEST((receiver.received.timeLeft == bookingCall().timeLeft));
    BOOST_TEST((receiver.received.attempt == bookingCall().attempt));
    BOOST_TEST(receiver.received.request.hops == 1U);
    BOOST_REQUIRE(std::holds_alternative<Core::Reply>(*result));
    BOOST_TEST(std::get<Core::Answer>(std::get<Core::Reply>(*result)).body == bookingCall().request.body);
}

BOOST_AUTO_TEST_CASE(CanBeRefusedForEveryReason)
{
    for (int reason = 0; reason <= static_cast<int>(Core::RefusalReason::InternalError); ++reason) {
        const Core::Reply refusal = Core::Refusal { Core::RunOutcome::Unknown, static_cast<Core::RefusalReason>(reason),
            "message", "remedy", "prefix" };
        const auto decoded = RelayPeer::decodeReply(RelayPeer::encode(refusal));
        BOOST_REQUIRE(decoded);
        BOOST_TEST((std::get<Core::Refusal>(*decoded).reason == static_cast<Core::RefusalReason>(reason)));
    }
}

BOOST_AUTO_TEST_CASE(IsNotSentOnlyIfThePeerWasUnreachable)
{
    transport.failure = Core::Error { Core::ErrorKind::Unreachable, "", "" };
    relay();
    BOOST_TEST(std::holds_alternative<Steering::NotSent>(*result));
    for (const auto kind : { Core::ErrorKind::OutcomeUnknown, Core::ErrorKind::Timeout, Core::ErrorKind::NotFound }) {
        transport.failure = Core::Error { kind, "", "" };
        relay();
        BOOST_TEST(std::holds_alternative<Steering::Lost>(*result));
    }
}

BOOST_AUTO_TEST_CASE(IsLostIfItsReplyCannotBeDecoded)
{
    transport.reply = "garbage";
    relay();
    BOOST_TEST(std::holds_alternative<Steering::Lost>(*result));
}

BOOST_AUTO_TEST_CASE(ThatIsMalformedIsNotPassedToTheReceiver)
{
    std::mt19937_64 random(11);
    const auto encoded = RelayPeer::encode(bookingCall());
    for (std::size_t length = 0; length < encoded.size(); ++length) {
        BOOST_TEST(!RelayPeer::decodeRelayCall(encoded.substr(0, length)));
        auto corrupted = encoded;
        corrupted[length] = static_cast<char>(random());
        (void)RelayPeer::decodeRelayCall(corrupted);
        (void)RelayPeer::decodeReply(corrupted);
        (void)RelayPeer::decodeCreditGrant(corrupted);
    }
    transport.corruptedPayload = "\x01";
    relay();
    BOOST_TEST(std::holds_alternative<Steering::Lost>(*result));
    BOOST_TEST(receiver.received.request.id.value().empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ACreditRequest)

BOOST_AUTO_TEST_CASE(ReturnsTheGrant)
{
    Steering::CreditGrant granted;
    peer.requestCredits({}, { Core::FailureDomainId("sav-1"), Core::ServiceId("booking"), 7 },
        [&](const Core::Result<Steering::CreditGrant>& grant) { granted = *grant; });
    BOOST_TEST(granted.count == 7U);
    BOOST_TEST(granted.id.value() == ~0ULL);
    BOOST_TEST((granted.lifetime == Core::Duration(Core::Millis(500))));
}

BOOST_AUTO_TEST_CASE(ThatIsMalformedFailsWithInvalidMessage)
{
    transport.corruptedPayload = "\xa1";
    Core::Result<Steering::CreditGrant> result = Steering::CreditGrant {};
    peer.requestCredits({}, {}, [&](Core::Result<Steering::CreditGrant> grant) { result = std::move(grant); });
    BOOST_REQUIRE(!result);
    BOOST_TEST((result.error().kind == Core::ErrorKind::InvalidMessage));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
