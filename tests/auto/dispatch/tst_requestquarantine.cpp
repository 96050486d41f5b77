#include "dispatch/requestquarantine.h"

#include <boost/test/unit_test.hpp>

namespace {

using Dispatch::RequestQuarantine;

constexpr Core::Instant now { std::chrono::hours(10) };
const Dispatch::RequestFingerprint harmful { 6, 66 };

auto report(const Dispatch::RequestFingerprint& request, Core::Duration age = {}) -> Dispatch::CrashReport
{
    return { request, { Core::UpstreamId("u1"), Core::UpstreamId("u2") }, age };
}

/// Fills the quarantine with requests that crashed upstreams within the last seconds, the first one longest ago.
auto fill(RequestQuarantine& quarantine) -> void
{
    constexpr std::uint64_t capacity = 4096;
    for (std::uint64_t number = 0; number < capacity; ++number)
        quarantine.merge({ report({ number, 0 }, Core::Millis(capacity - number)) }, now);
}

} // namespace

BOOST_AUTO_TEST_SUITE(AQuarantinedRequest)

BOOST_AUTO_TEST_SUITE(ThatAnotherVmTellsOf)

BOOST_AUTO_TEST_CASE(IsRefusedUntilAnHourAfterTheCrash)
{
    RequestQuarantine quarantine;
    BOOST_TEST(quarantine.merge({ report(harmful, std::chrono::minutes(40)) }, now));
    BOOST_TEST(quarantine.isQuarantined(harmful, now + std::chrono::minutes(19)));
    BOOST_TEST(!quarantine.isQuarantined(harmful, now + std::chrono::minutes(20)));
}

BOOST_AUTO_TEST_CASE(IsNotRefusedLongerEachTimeItIsTold)
{
    RequestQuarantine quarantine;
    quarantine.merge({ report(harmful) }, now);
    BOOST_TEST(!quarantine.merge({ report(harmful) }, now + std::chrono::minutes(59)));
    BOOST_TEST(!quarantine.isQuarantined(harmful, now + RequestQuarantine::quarantineTime));
}

/// A seed of tst_forwardingsoak: all VMs refused sound requests that one VM had not seen answered between two crashes.
BOOST_AUTO_TEST_CASE(IsNotRefusedIfItWasAnsweredBetweenTheCrashes)
{
    RequestQuarantine quarantine;
    quarantine.merge({ { harmful, { Core::UpstreamId("u1") } } }, now);
    quarantine.clear(harmful, now + Core::Millis(1000));
    const auto later = now + Core::Millis(3000);
    BOOST_TEST(!quarantine.merge({ { harmful, report(harmful).upstreams, {}, Core::Millis(3000) } }, later));
    BOOST_TEST(!quarantine.isQuarantined(harmful, later));
    BOOST_TEST(quarantine.merge({ { harmful, report(harmful).upstreams, {}, Core::Millis(1999) } }, later));
    BOOST_TEST(quarantine.isQuarantined(harmful, later));
}

BOOST_AUTO_TEST_CASE(IsForgottenIfItsTimeHasPassed)
{
    RequestQuarantine quarantine;
    BOOST_TEST(!quarantine.merge({ report(harmful, RequestQuarantine::quarantineTime) }, now));
    BOOST_TEST(quarantine.summary(now).requests == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhoseTimeHasPassed)

BOOST_AUTO_TEST_CASE(IsRefusedAgainIfItCrashesTheSameUpstreamsAgain)
{
    RequestQuarantine quarantine;
    quarantine.merge({ report(harmful) }, now);
    const auto later = now + std::chrono::hours(2);
    BOOST_TEST(quarantine.merge({ report(harmful) }, later));
    BOOST_TEST(quarantine.isQuarantined(harmful, later));
}

BOOST_AUTO_TEST_CASE(IsNotRefusedAfterOneFurtherCrash)
{
    RequestQuarantine quarantine;
    quarantine.merge({ report(harmful) }, now);
    const auto later = now + std::chrono::hours(2);
    quarantine.merge({ { harmful, { Core::UpstreamId("u3") } } }, later);
    BOOST_TEST(!quarantine.isQuarantined(harmful, later));
}

BOOST_AUTO_TEST_CASE(IsNotPassedOn)
{
    RequestQuarantine quarantine;
    quarantine.merge({ report(harmful) }, now);
    const auto end = now + RequestQuarantine::quarantineTime;
    BOOST_TEST(quarantine.quarantined(std::nullopt, 1, end).empty());
    BOOST_TEST(quarantine.summary(end).digest == Dispatch::QuarantineDigest());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AmongOthers)

BOOST_AUTO_TEST_CASE(GivesTheSameDigestInAnyOrder)
{
    RequestQuarantine one;
    RequestQuarantine other;
    one.merge({ report({ 1, 2 }), report({ 2, 1 }) }, now);
    other.merge({ report({ 2, 1 }), report({ 1, 2 }) }, now);
    BOOST_TEST(one.summary(now).digest == other.summary(now).digest);
    other.merge({ report({ 3, 3 }) }, now);
    BOOST_TEST(one.summary(now).digest != other.summary(now).digest);
}

BOOST_AUTO_TEST_CASE(IsPassedOnWithoutThoseThatCrashedOneUpstream)
{
    RequestQuarantine quarantine;
    quarantine.merge({ { { 1, 1 }, { Core::UpstreamId("u1") } }, report(harmful) }, now);
    const auto passedOn = quarantine.quarantined(std::nullopt, 10, now + Core::Millis(5));
    BOOST_TEST_REQUIRE(passedOn.size() == 1U);
    BOOST_TEST((passedOn.front().fingerprint == harmful));
    BOOST_TEST((passedOn.front().age == Core::Millis(5)));
}

BOOST_AUTO_TEST_CASE(GivesWayToLaterOnesOnly)
{
    RequestQuarantine quarantine;
    fill(quarantine);
    BOOST_TEST(!quarantine.merge({ report(harmful, std::chrono::minutes(1)) }, now));
    BOOST_TEST(quarantine.isQuarantined({ 0, 0 }, now));
    BOOST_TEST(quarantine.merge({ report(harmful) }, now));
    BOOST_TEST(!quarantine.isQuarantined({ 0, 0 }, now));
    BOOST_TEST(quarantine.summary(now).requests == 4096U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
