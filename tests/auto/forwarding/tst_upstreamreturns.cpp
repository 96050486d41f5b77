#include "fakes.h"
#include "forwarding/upstreamregistry.h"

#include <boost/test/unit_test.hpp>

using namespace ForwardingTest;

namespace {

const Core::UpstreamId a1 { "a1" };
constexpr std::int64_t firstStart = 10;

/// What an upstream says about itself.
struct Statement {
    std::int64_t start = firstStart;
    std::uint64_t report = 0;
    bool isDraining = false;
};

auto entryOf(const std::string& id, const Statement& statement, std::uint64_t era) -> Forwarding::UpstreamEntry
{
    auto entry = upstream(id);
    entry.target.start = Core::ProcessStartId(statement.start);
    entry.report = Forwarding::ReportNumber(statement.report);
    entry.isDraining = statement.isDraining;
    entry.revision = Ports::StoreRevision(1, Ports::StoreEra(era));
    return entry;
}

/// Upstream a1 in the store's first era, beside another one.
struct AnUpstreamOfTheFirstEra {
    AnUpstreamOfTheFirstEra() { put({ firstStart, 5 }, 1); }

    auto put(const Statement& statement, std::uint64_t era) -> void
    {
        registry.upsert(entryOf("a1", statement, era));
        registry.commit();
    }

    auto remove() -> void
    {
        registry.remove(a1);
        registry.commit();
    }

    auto returnWith(const std::vector<Forwarding::UpstreamEntry>& entries) -> void
    {
        registry.mergeReturned(entries);
        registry.commit();
    }

    /// Lets the store return from a copy in which a1 says this.
    auto returnWith(const Statement& statement, std::uint64_t era = 2) -> void
    {
        returnWith({ entryOf("a1", statement, era) });
    }

    [[nodiscard]] auto isUsed() const -> bool
    {
        const auto found = known.find(a1);
        return found != known.end() && !found->second.isDraining;
    }

    [[nodiscard]] auto isDraining() const -> bool { return known.contains(a1) && known.at(a1).isDraining; }

    TestSupport::VirtualTime time;
    EventRecorder events;
    Forwarding::UpstreamEntries known;
    const Core::Millis hold { Forwarding::DepartedUpstreams::quarantineTime };
    Forwarding::UpstreamRegistry registry { { time, time, events },
        [this](const Forwarding::UpstreamEntries& entries) { known = entries; } };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(WhenTheStoreReturnsFromAnOlderCopy, AnUpstreamOfTheFirstEra)

BOOST_AUTO_TEST_SUITE(AnUpstreamThatHadSaidItLeaves)

BOOST_AUTO_TEST_CASE(IsNotUsedBecauseOfAnEarlierReport)
{
    put({ firstStart, 6, true }, 1);
    returnWith({ firstStart, 5 });
    BOOST_TEST(isDraining());
}

BOOST_AUTO_TEST_CASE(IsNotUsedBecauseOfAReportOfTheSameNumber)
{
    put({ firstStart, 5, true }, 1);
    returnWith({ firstStart, 5 });
    BOOST_TEST(isDraining());
}

BOOST_AUTO_TEST_CASE(IsNotUsedIfItDoesNotNumberItsReports)
{
    put({ firstStart, 0, true }, 1);
    returnWith({ firstStart, 0 });
    BOOST_TEST(isDraining());
}

BOOST_AUTO_TEST_CASE(IsNotUsedAfterFurtherListsOfThatEra)
{
    put({ firstStart, 6, true }, 1);
    returnWith({ firstStart, 5 });
    registry.replaceAll({ entryOf("a1", { firstStart, 5 }, 2) });
    registry.commit();
    BOOST_TEST(isDraining());
    put({ firstStart, 5 }, 2);
    BOOST_TEST(isDraining());
}

BOOST_AUTO_TEST_CASE(IsNotUsedAfterTheStoreLostItAndASecondReturnBringsItBack)
{
    put({ firstStart, 6, true }, 1);
    registry.mergeReturned({});
    registry.giveUp(a1, Ports::StoreEra(2));
    returnWith({ firstStart, 5 }, 3);
    BOOST_TEST(!known.contains(a1));
    time.runFor(hold * 2);
    BOOST_TEST(!isUsed());
}

BOOST_AUTO_TEST_CASE(IsNotUsedAfterASecondReturn)
{
    put({ firstStart, 6, true }, 1);
    returnWith({ firstStart, 5 }, 2);
    returnWith({ firstStart, 4 }, 3);
    BOOST_TEST(isDraining());
}

BOOST_AUTO_TEST_CASE(StaysSoWhenItSaysSoAgain)
{
    put({ firstStart, 6, true }, 1);
    returnWith({ firstStart, 5 });
    put({ firstStart, 6, true }, 2);
    BOOST_TEST(isDraining());
    // It is known in the new era by now, whose order is right.
    put({ firstStart, 7 }, 2);
    BOOST_TEST(isUsed());
}

BOOST_AUTO_TEST_CASE(IsUsedFromItsNextStartOn)
{
    put({ firstStart, 6, true }, 1);
    returnWith({ firstStart, 5 });
    put({ firstStart + 1, 1 }, 2);
    BOOST_TEST(isUsed());
    BOOST_TEST(known.at(a1).target.start.value() == firstStart + 1);
}

BOOST_AUTO_TEST_CASE(IsUsedIfTheCopyHasItsNextStart)
{
    put({ firstStart, 6, true }, 1);
    returnWith({ firstStart + 1, 1 });
    BOOST_TEST(isUsed());
}

BOOST_AUTO_TEST_SUITE(AndWasRemovedThen)

BOOST_AUTO_TEST_CASE(IsNeverUsedAgain)
{
    put({ firstStart, 6, true }, 1);
    remove();
    returnWith({ firstStart, 5 });
    BOOST_TEST(!known.contains(a1));
    time.runFor(hold * 3);
    BOOST_TEST(!known.contains(a1));
    registry.replaceAll({ entryOf("a1", { firstStart, 5 }, 2) });
    registry.commit();
    time.runFor(hold * 3);
    BOOST_TEST(!known.contains(a1));
    BOOST_TEST(events.count("upstream.outdated-copy") > 0U);
}

BOOST_AUTO_TEST_CASE(IsNotUsedEvenIfTheCopyHasItsNotice)
{
    put({ firstStart, 6, true }, 1);
    remove();
    returnWith({ firstStart, 6, true });
    time.runFor(hold * 2);
    BOOST_TEST(!isUsed());
}

BOOST_AUTO_TEST_CASE(IsUsedFromItsNextStartOn)
{
    put({ firstStart, 6, true }, 1);
    remove();
    returnWith({ firstStart, 5 });
    put({ firstStart + 1, 1 }, 2);
    BOOST_TEST(isUsed());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AnUpstreamThatHadLeftWithoutANotice)

BOOST_AUTO_TEST_CASE(IsUsedAsPossiblyOutdatedIfItIsStillListedLater)
{
    remove();
    returnWith({ firstStart, 5 });
    BOOST_TEST(!known.contains(a1));
    time.runFor(hold - Core::Millis(1));
    BOOST_TEST(!known.contains(a1));
    time.runFor(Core::Millis(1));
    BOOST_REQUIRE(isUsed());
    BOOST_TEST(known.at(a1).mayBeOutdated);
}

BOOST_AUTO_TEST_CASE(IsNotUsedIfItsEntryExpiresAgain)
{
    remove();
    returnWith({ firstStart, 5 });
    time.runFor(hold / 2);
    remove();
    time.runFor(hold * 2);
    BOOST_TEST(!known.contains(a1));
}

BOOST_AUTO_TEST_CASE(IsNotUsedIfAFurtherListLacksIt)
{
    remove();
    returnWith({ firstStart, 5 });
    registry.replaceAll({});
    time.runFor(hold * 2);
    BOOST_TEST(!known.contains(a1));
}

BOOST_AUTO_TEST_CASE(IsUsedAtOnceWhenItSaysSomethingLater)
{
    remove();
    returnWith({ firstStart, 5 });
    put({ firstStart, 6 }, 2);
    BOOST_TEST(isUsed());
}

BOOST_AUTO_TEST_CASE(IsUsedAtOnceWhenItHasStartedAgain)
{
    remove();
    returnWith({ firstStart + 1, 1 });
    BOOST_TEST(isUsed());
}

BOOST_AUTO_TEST_CASE(IsNotUsedWhileTheStoreIsAway)
{
    remove();
    returnWith({ firstStart, 5 });
    registry.storeLost();
    time.runFor(hold * 4);
    BOOST_TEST(!known.contains(a1));
    registry.storeRegained();
    time.runFor(hold);
    BOOST_TEST(isUsed());
}

BOOST_AUTO_TEST_CASE(IsNotHeldBackLongerBecauseItIsListedAgain)
{
    remove();
    returnWith({ firstStart, 5 });
    time.runFor(hold / 2);
    registry.replaceAll({ entryOf("a1", { firstStart, 5 }, 2) });
    put({ firstStart, 5 }, 2);
    BOOST_TEST(!known.contains(a1));
    time.runFor(hold / 2);
    BOOST_TEST(isUsed());
}

/// A VM gave up an upstream whose removal it had missed, and used it again after the next return.
BOOST_AUTO_TEST_CASE(IsHeldBackAfterTheNextReturnIfItWasGivenUp)
{
    registry.mergeReturned({});
    registry.giveUp(a1, Ports::StoreEra(2));
    returnWith({ firstStart, 5 }, 3);
    BOOST_TEST(!known.contains(a1));
    time.runFor(hold);
    BOOST_TEST(isUsed());
}

BOOST_AUTO_TEST_CASE(IsUsedAtOnceIfItRegistersAgainInTheEraInWhichItWasGivenUp)
{
    registry.mergeReturned({});
    registry.giveUp(a1, Ports::StoreEra(2));
    put({ firstStart, 5 }, 2);
    BOOST_TEST(isUsed());
}

BOOST_AUTO_TEST_CASE(IsHeldBackForTheWholeTimeAfterAnother)
{
    registry.upsert(entryOf("b1", { firstStart, 5 }, 1));
    registry.remove(Core::UpstreamId("b1"));
    remove();
    returnWith({ entryOf("b1", { firstStart, 5 }, 2) });
    time.runFor(hold - Core::Millis(1000));
    returnWith({ entryOf("b1", { firstStart, 5 }, 3), entryOf("a1", { firstStart, 5 }, 3) });
    time.runFor(hold - Core::Millis(1));
    BOOST_TEST(!known.contains(a1));
    time.runFor(Core::Millis(1));
    BOOST_TEST(isUsed());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AnUpstreamThatIsReady)

BOOST_AUTO_TEST_CASE(IsNotTakenBackToAnEarlierReport)
{
    put({ firstStart, 6 }, 1);
    returnWith({ firstStart, 5 });
    BOOST_TEST(known.at(a1).report.value() == 6U);
    put({ firstStart, 7 }, 2);
    BOOST_TEST(known.at(a1).report.value() == 7U);
}

BOOST_AUTO_TEST_CASE(IsUsedThroughoutWhenItRepeatsItsReport)
{
    returnWith({ firstStart, 5 });
    BOOST_TEST(isUsed());
    BOOST_TEST(!known.at(a1).mayBeOutdated);
    BOOST_TEST(events.count("upstream.outdated-copy") == 0U);
}

BOOST_AUTO_TEST_CASE(IsNoLongerUsedIfTheCopyHasItsNotice)
{
    returnWith({ firstStart, 6, true });
    BOOST_TEST(isDraining());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AnUpstreamThatHadStartedAgain)

BOOST_AUTO_TEST_CASE(IsNotTakenBackToItsEarlierStart)
{
    put({ firstStart + 1, 1 }, 1);
    returnWith({ firstStart, 900 });
    BOOST_TEST(known.at(a1).target.start.value() == firstStart + 1);
    registry.replaceAll({ entryOf("a1", { firstStart, 901 }, 2) });
    registry.commit();
    BOOST_TEST(known.at(a1).target.start.value() == firstStart + 1);
}

BOOST_AUTO_TEST_CASE(IsTakenAtAStartThatItsClockNumbersLowerIfItWritesThat)
{
    put({ firstStart + 1, 1, true }, 1);
    returnWith({ firstStart + 1, 0 });
    put({ firstStart, 1 }, 2);
    BOOST_TEST(known.at(a1).target.start.value() == firstStart);
    BOOST_TEST(isUsed());
}

BOOST_AUTO_TEST_CASE(IsTakenAsTheStoreSaysWithinAnEra)
{
    put({ firstStart + 1, 1 }, 1);
    put({ firstStart, 1 }, 1);
    BOOST_TEST(known.at(a1).target.start.value() == firstStart);
    put({ firstStart, 0 }, 1);
    BOOST_TEST(known.at(a1).report.value() == 0U);
    put({ firstStart, 0, true }, 1);
    put({ firstStart, 0 }, 1);
    BOOST_TEST(isUsed());
}

BOOST_AUTO_TEST_CASE(ThatLeftAndIsListedWithinAnEraIsUsed)
{
    put({ firstStart, 6, true }, 1);
    remove();
    put({ firstStart, 6 }, 1);
    BOOST_TEST(isUsed());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AnUpstreamThatTheCopyLacks)

BOOST_AUTO_TEST_CASE(IsStillUsed)
{
    returnWith({ entryOf("b1", { firstStart, 1 }, 2) });
    BOOST_TEST(isUsed());
    BOOST_TEST(known.size() == 2U);
    BOOST_TEST(!known.at(a1).mayBeOutdated);
    BOOST_TEST(known.at(Core::UpstreamId("b1")).mayBeOutdated);
}

BOOST_AUTO_TEST_CASE(IsGoneOnceItIsRemoved)
{
    returnWith(std::vector<Forwarding::UpstreamEntry> {});
    remove();
    BOOST_TEST(!known.contains(a1));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(DepartedUpstreams, AnUpstreamOfTheFirstEra)

BOOST_AUTO_TEST_CASE(AreForgottenOnceOthersLeaveMuchLater)
{
    Forwarding::DepartedUpstreams departed;
    const auto last = entryOf("a1", { firstStart, 5 }, 1);
    const auto listed = entryOf("a1", { firstStart, 5 }, 2);
    departed.record(last, time.now());
    departed.record(entryOf("b1", {}, 1), time.now() + Forwarding::DepartedUpstreams::memory);
    BOOST_TEST((departed.departureOf(listed) != nullptr));
    departed.record(entryOf("c1", {}, 1), time.now() + Forwarding::DepartedUpstreams::memory + Core::Millis(1));
    BOOST_TEST((departed.departureOf(listed) == nullptr));
}

BOOST_AUTO_TEST_CASE(AreRememberedFromTheirLastDepartureOn)
{
    Forwarding::DepartedUpstreams departed;
    departed.record(entryOf("a1", { firstStart, 5 }, 1), time.now());
    departed.record(entryOf("a1", { firstStart, 8, true }, 1), time.now() + Forwarding::DepartedUpstreams::memory);
    departed.record(entryOf("b1", {}, 1), time.now() + Forwarding::DepartedUpstreams::memory * 2);
    const auto* last = departed.departureOf(entryOf("a1", { firstStart, 7 }, 2));
    BOOST_REQUIRE((last != nullptr));
    BOOST_TEST(last->isDraining);
}

/// The copy had a statement that the VM never saw, of an upstream that it had seen to be gone.
BOOST_AUTO_TEST_CASE(AreKnownWhateverTheirCopySays)
{
    Forwarding::DepartedUpstreams departed;
    departed.record(entryOf("a1", { firstStart, 5 }, 1), time.now());
    const auto listed = entryOf("a1", { firstStart, 6 }, 2);
    BOOST_TEST((departed.departureOf(listed) != nullptr));
    departed.quarantine(listed, time.now());
    BOOST_TEST(!departed.isNews(listed));
    BOOST_TEST(departed.isNews(entryOf("a1", { firstStart, 7 }, 2)));
}

BOOST_AUTO_TEST_CASE(AreNoReasonAgainstALaterStart)
{
    Forwarding::DepartedUpstreams departed;
    departed.record(entryOf("a1", { firstStart, 5, true }, 1), time.now());
    BOOST_TEST((departed.departureOf(entryOf("a1", { firstStart + 1, 0 }, 2)) == nullptr));
    BOOST_TEST((departed.departureOf(entryOf("other", { firstStart, 5 }, 2)) == nullptr));
}

BOOST_AUTO_TEST_SUITE_END()
