#include "entryfleet/callerselection.h"

#include <boost/test/unit_test.hpp>

using EntryFleet::CallerTarget;
using EntryFleet::CallerTargets;
using EntryFleet::Cores;

namespace {

constexpr double largeCores = 0.5;
constexpr double smallCores = 0.1;

/// Two failure domains, each with two large and ten small VMs.
struct MixedRegion {
    MixedRegion()
    {
        for (const auto* domain : { "atl-a", "atl-b" }) {
            add(domain, "large", 2, largeCores);
            add(domain, "small", 10, smallCores);
        }
    }

    auto add(const std::string& domain, const std::string& size, int count, double cores) -> void
    {
        for (int index = 1; index <= count; ++index) {
            targets.push_back({ Core::EntryVmId(domain + "-" + size + std::to_string(index)),
                Core::FailureDomainId(domain), Cores(cores) });
        }
    }

    auto target(const std::string& id) -> CallerTarget&
    {
        return *std::find_if(
            targets.begin(), targets.end(), [&](const CallerTarget& target) { return target.id.value() == id; });
    }

    auto remove(const std::string& id) -> void
    {
        std::erase_if(targets, [&](const CallerTarget& target) { return target.id.value() == id; });
    }

    auto selectedIn(const std::string& domain) const -> std::size_t
    {
        const auto selected = selectForCallers(targets);
        return static_cast<std::size_t>(std::count_if(selected.begin(), selected.end(),
            [&](const Core::EntryVmId& id) { return id.value().starts_with(domain); }));
    }

    CallerTargets targets;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ARegionWithLargeAndSmallVms, MixedRegion)

BOOST_AUTO_TEST_CASE(NamesTheLargeOnes)
{
    const auto selected = selectForCallers(targets);
    BOOST_TEST(selected.size() == 4U);
    for (const auto& id : selected)
        BOOST_TEST(id.value().find("large") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE(ThatLosesALargeOne)

BOOST_AUTO_TEST_CASE(NamesASmallOneOfThatFailureDomainInItsPlace)
{
    remove("atl-a-large1");
    BOOST_TEST(selectedIn("atl-a") == 2U);
    BOOST_TEST(selectedIn("atl-b") == 2U);
}

BOOST_AUTO_TEST_CASE(NamesAllSmallOnesOnceThereIsNoLargeOne)
{
    remove("atl-a-large1");
    remove("atl-a-large2");
    BOOST_TEST(selectedIn("atl-a") == 10U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(OfWhichOneIsBusy)

BOOST_AUTO_TEST_CASE(AddsAsMuchProcessorTimeOfSmallOnes)
{
    target("atl-a-large1").isBusy = true;
    BOOST_TEST(selectedIn("atl-a") == 7U);
    BOOST_TEST(selectedIn("atl-b") == 2U);
}

BOOST_AUTO_TEST_CASE(AddsMoreForSmallOnesThatAreBusyToo)
{
    target("atl-a-large1").isBusy = true;
    target("atl-a-small1").isBusy = true;
    BOOST_TEST(selectedIn("atl-a") == 8U);
}

BOOST_AUTO_TEST_CASE(NamesAllIfAllAreBusy)
{
    for (auto& target : targets)
        target.isBusy = true;
    BOOST_TEST(selectForCallers(targets).size() == targets.size());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ARegionWithVmsOfOneSize)

BOOST_AUTO_TEST_CASE(NamesAll)
{
    MixedRegion region;
    region.targets.clear();
    region.add("atl-a", "vm", 3, largeCores);
    region.add("atl-b", "vm", 1, largeCores);
    BOOST_TEST(selectForCallers(region.targets).size() == 4U);
}

BOOST_AUTO_TEST_CASE(NamesAllIfTheirSizesAreNotKnown)
{
    MixedRegion region;
    region.targets.clear();
    region.add("atl-a", "vm", 5, 0);
    BOOST_TEST(selectForCallers(region.targets).size() == 5U);
    region.add("atl-b", "large", 3, largeCores);
    region.add("atl-b", "unknown", 1, 0);
    BOOST_TEST(selectForCallers(region.targets).size() == 9U);
    BOOST_TEST(EntryFleet::selectForCallers({}).empty());
}

BOOST_AUTO_TEST_SUITE_END()
