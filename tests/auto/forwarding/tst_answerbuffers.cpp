#include "forwarderfixture.h"

using namespace ForwardingTest;
using Ports::ExchangeOutcome;

namespace {

/// Room for two answers of unknown size.
struct LittleMemory : ForwarderFixture {
    LittleMemory()
        : ForwarderFixture({ std::make_shared<Core::BufferAccount>(Core::Bytes(1000)), Core::Bytes(400) })
    {
    }

    auto sent() const -> std::size_t { return exchanges.exchanges.size(); }

    auto sendMany(int count) -> void
    {
        for (int number = 0; number < count; ++number)
            send("r" + std::to_string(number));
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AVmWithLittleMemoryForAnswers, LittleMemory)

BOOST_AUTO_TEST_SUITE(WhoseRoutesAnswersAreUnknown)

BOOST_AUTO_TEST_CASE(RefusesWhatMayNotFitBeforeAnythingIsSent)
{
    sendMany(3);
    BOOST_TEST(sent() == 2U);
    BOOST_TEST((refusal().outcome == Core::RunOutcome::NotRun));
    BOOST_TEST((refusal().retryAfter.count() > 0));
}

BOOST_AUTO_TEST_CASE(TakesMoreWhenAnAnswerIsDelivered)
{
    sendMany(2);
    exchanges.end(0, ExchangeOutcome::Answered, 400);
    send("next");
    BOOST_TEST(sent() == 3U);
}

BOOST_AUTO_TEST_CASE(TakesMoreWhenARequestFails)
{
    auto route = stockRoute();
    route.attempts = 1;
    configure(route);
    sendMany(2);
    exchanges.end(0, ExchangeOutcome::Lost);
    send("next");
    BOOST_TEST(sent() == 3U);
}

BOOST_AUTO_TEST_CASE(KeepsTheRoomOfALargeAnswerUntilItsEnd)
{
    sendMany(2);
    const auto body = exchanges.deliverHead(0);
    send("refused");
    BOOST_TEST(sent() == 2U);
    std::get<Forwarding::StreamedAnswer>(replies.front()).body->cancel();
    send("next");
    BOOST_TEST(sent() == 3U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhoseRoutesAnswersAreSmall)

BOOST_AUTO_TEST_CASE(TakesAsManyAsFit)
{
    send("first");
    exchanges.end(0, ExchangeOutcome::Answered, 200);
    replies.clear();
    sendMany(6);
    BOOST_TEST(sent() == 6U);
    BOOST_TEST((refusal().outcome == Core::RunOutcome::NotRun));
}

BOOST_AUTO_TEST_CASE(CountsOneThatTurnsOutLarge)
{
    send("first");
    exchanges.end(0, ExchangeOutcome::Answered, 100);
    sendMany(2);
    const auto body = exchanges.deliverHead(1);
    replies.clear();
    // 400 for the body, 100 for the other answer, and 400 for one more that may be as large.
    sendMany(2);
    BOOST_TEST(sent() == 4U);
    BOOST_TEST(replies.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
