#include "rankeddispatcherfixture.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace DispatchTest;
using Core::Rank;

namespace {

constexpr int steps = 4000;
constexpr std::uint32_t slotsPerUpstream = 3;

/// Generates requests and faults from a seed. Invariants are checked by Core::invariant() during the run and by the
/// test at its end.
struct RandomRun : RankedDispatcherFixture {
    explicit RandomRun(std::uint64_t seed)
        : RankedDispatcherFixture(seed)
        , random(seed)
    {
        listUpstreams(names, slotsPerUpstream);
        upstreams.setCrashOn("poison");
        dispatcher.start();
    }

    auto draw(std::uint64_t bound) -> std::uint64_t { return random() % bound; }

    auto sendRandom(int step) -> void
    {
        auto policy = policyFor(Core::allRanks.at(draw(Core::rankCount)));
        policy.isIdempotent = policy.rank != Rank::Normal;
        policy.floor = Core::Share(policy.rank == Rank::Urgent ? 0 : 0.1);
        const auto id = "r" + std::to_string(step);
        const bool isPoison = draw(100) == 0;
        send(id, policy, std::chrono::milliseconds(20 + draw(500)), "caller-" + std::to_string(draw(5)),
            isPoison ? "poison-" + std::to_string(draw(3)) : id);
        if (!policy.isIdempotent)
            bookings.push_back(id);
        ++sent;
    }

    auto changeBehaviour() -> void
    {
        auto& behaviour = upstreams.behaviour(Core::UpstreamId(names.at(draw(names.size()))));
        behaviour.isDown = draw(5) == 0;
        behaviour.isDraining = draw(20) == 0;
        behaviour.shedsAll = draw(5) == 0;
        behaviour.hasUnresponsiveConnections = draw(8) == 0;
        behaviour.misroutesAnswers = draw(20) == 0;
        behaviour.answersQueries = draw(3) != 0;
        behaviour.lossProbability = draw(4) == 0 ? 0.3 : 0;
        behaviour.falseReport.reset();
        if (draw(4) == 0)
            behaviour.falseReport = Ports::LoadReport { Core::SlotCount(slotsPerUpstream),
                Core::SlotCount(static_cast<std::uint32_t>(draw(9))), draw(2) == 0 };
    }

    auto clearFaults() -> void
    {
        for (const auto& name : names)
            upstreams.behaviour(Core::UpstreamId(name)) = {};
        listUpstreams(names, slotsPerUpstream);
    }

    auto step(int number) -> void
    {
        const auto burst = draw(50) == 0 ? 40 : 1;
        for (int index = 0; index < burst; ++index)
            sendRandom(number * 100 + index);
        if (draw(60) == 0)
            changeBehaviour();
        if (draw(200) == 0)
            listUpstreams(
                { names.begin(), names.begin() + 2 + static_cast<std::ptrdiff_t>(draw(3)) }, slotsPerUpstream);
        time.runFor(std::chrono::milliseconds(draw(10)));
    }

    std::vector<std::string> names { "u1", "u2", "u3", "u4" };
    std::mt19937_64 random;
    std::vector<std::string> bookings;
    std::size_t sent = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(ARandomRunOfFloodsAndFaults)

BOOST_DATA_TEST_CASE(HoldsItsInvariants, boost::unit_test::data::xrange(1, 9), seed)
{
    RandomRun run(static_cast<std::uint64_t>(seed));
    for (int number = 0; number < steps; ++number)
        run.step(number);
    run.clearFaults();
    run.time.runFor(60s);
    for (int index = 0; index < 50; ++index) {
        run.send("healed-" + std::to_string(index), RankedDispatcherFixture::policyFor(Core::allRanks.at(index % 3)));
        run.time.runFor(10ms);
    }
    bool isDrained = false;
    run.dispatcher.drain([&] { isDrained = true; });
    run.time.runFor(10s);

    BOOST_TEST(isDrained);
    BOOST_TEST(run.order.size() == run.sent + 50);
    BOOST_TEST(run.replies.size() == run.sent + 50);
    for (int index = 0; index < 50; ++index)
        BOOST_TEST(run.isAnswered("healed-" + std::to_string(index)));
    for (const auto& [id, reply] : run.replies) {
        const auto* refusal = std::get_if<Core::Refusal>(&reply);
        const bool claimsNotRun = refusal != nullptr && refusal->outcome == Core::RunOutcome::NotRun;
        if (claimsNotRun)
            BOOST_TEST(!run.upstreams.runs().contains(Core::RequestId(id)));
    }
    for (const auto& id : run.bookings) {
        const auto found = run.upstreams.runs().find(Core::RequestId(id));
        BOOST_TEST((found == run.upstreams.runs().end() || found->second == 1U));
    }
    for (const auto& [id, record] : run.upstreams.records())
        BOOST_TEST(record.highestInFlight <= slotsPerUpstream);
}

BOOST_AUTO_TEST_SUITE_END()
