#include "fakes/booking/bookingfleet.h"

#include <boost/test/unit_test.hpp>

namespace {

constexpr Core::Duration shortDelay = Core::Millis(50);

auto smallLedger() -> Ledger::LedgerLimits
{
    Ledger::LedgerLimits limits;
    limits.maximumRecords = 3;
    limits.retention = std::chrono::seconds(60);
    return limits;
}

struct FullLedger {
    FullLedger()
    {
        for (auto count = 0; count < 3; ++count)
            keys.push_back(*fleet.freshKey(0));
        for (const auto& key : keys)
            fleet.send(0, key);
        fleet.world.runFor(shortDelay);
        overflowing = *fleet.freshKey(0);
        refused = fleet.send(0, overflowing);
        fleet.world.runFor(shortDelay);
    }
    ~FullLedger()
    {
        BOOST_TEST(fleet.checker.violations() == std::vector<std::string>(), boost::test_tools::per_element());
    }

    auto outcomeOf(const Fakes::PendingReply& reply) -> Core::RunOutcome
    {
        return std::get<Core::Refusal>(**reply).outcome;
    }

    Fakes::BookingFleet fleet { 1, 2, smallLedger() };
    std::vector<Core::RequestKey> keys;
    Core::RequestKey overflowing;
    Fakes::PendingReply refused;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AFullLedger, FullLedger)

BOOST_AUTO_TEST_CASE(RefusesTheNextBookingAsNotRunAndIssuesNoKeys)
{
    BOOST_REQUIRE(*refused);
    BOOST_TEST((outcomeOf(refused) == Core::RunOutcome::NotRun));
    BOOST_TEST((std::get<Core::Refusal>(**refused).reason == Core::RefusalReason::LedgerFull));
    BOOST_TEST(!fleet.freshKey(0));
}

BOOST_AUTO_TEST_CASE(KeepsEveryRecordAndReplaysIt)
{
    for (const auto& key : keys) {
        const auto retry = fleet.send(0, key);
        fleet.world.runFor(shortDelay);
        BOOST_REQUIRE(*retry);
        BOOST_TEST(std::holds_alternative<Core::Answer>(**retry));
    }
}

BOOST_AUTO_TEST_SUITE(WhoseRetentionHasPassed)

BOOST_AUTO_TEST_CASE(AcceptsNewBookingsAndReportsTheOldOnesAsUnknown)
{
    fleet.world.runFor(std::chrono::seconds(70));
    const auto fresh = fleet.freshKey(0);
    BOOST_REQUIRE(fresh);
    const auto accepted = fleet.send(0, *fresh);
    const auto old = fleet.send(0, keys[0]);
    const auto neverRun = fleet.send(0, overflowing);
    fleet.world.runFor(shortDelay);
    BOOST_TEST(std::holds_alternative<Core::Answer>(**accepted));
    BOOST_TEST((outcomeOf(old) == Core::RunOutcome::Unknown));
    BOOST_TEST((outcomeOf(neverRun) == Core::RunOutcome::Unknown));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
