#include "fakes.h"

#include <boost/test/unit_test.hpp>
#include <map>

using namespace ForwardingTest;

namespace {

auto route(const std::string& id, const std::string& prefix) -> Forwarding::Route
{
    auto route = stockRoute();
    route.id = Forwarding::RouteId(id);
    route.pathPrefix = prefix;
    return route;
}

struct AHostWithThreeRoutes {
    AHostWithThreeRoutes()
    {
        table.add(route("root", "/"));
        table.add(route("pegs", "/pegs/"));
        table.add(route("marquees", "/pegs/marquee/"));
    }

    auto routeOf(const std::string& path) -> std::string
    {
        const auto found = table.find("desk.example", path);
        return found ? found->id.value() : "none";
    }

    Forwarding::RouteTable table;
};

} // namespace

BOOST_AUTO_TEST_SUITE(ARequestFindsItsRoute)

BOOST_FIXTURE_TEST_SUITE(ByTheLongestPrefix, AHostWithThreeRoutes)

BOOST_AUTO_TEST_CASE(OfItsPath)
{
    BOOST_TEST(routeOf("/pegs/marquee/7") == "marquees");
    BOOST_TEST(routeOf("/pegs/7") == "pegs");
    BOOST_TEST(routeOf("/straps") == "root");
}

BOOST_AUTO_TEST_CASE(WhichEndsAtASlash)
{
    BOOST_TEST(routeOf("/pegs/marquees/7") == "pegs");
    BOOST_TEST(routeOf("/pegs") == "root");
}

BOOST_AUTO_TEST_CASE(WithoutItsQuery) { BOOST_TEST(routeOf("/pegs?path=/pegs/marquee/") == "root"); }

BOOST_AUTO_TEST_CASE(OfItsHostOnly) { BOOST_TEST(!table.find("other.example", "/pegs/7")); }

BOOST_AUTO_TEST_CASE(OrNoneForAPathWithoutASlash) { BOOST_TEST(routeOf("*") == "none"); }

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AndItsServiceByWeight)

BOOST_AUTO_TEST_CASE(SoThatAnySequenceOfRequestsApproximatesTheWeights)
{
    auto split = stockRoute();
    split.services = { { Core::ServiceId("old"), 90 }, { Core::ServiceId("new"), 10 } };
    Forwarding::WeightedRoundRobin roundRobin;
    for (int run = 0; run < 5; ++run) {
        std::map<Core::ServiceId, int> counts;
        for (int request = 0; request < 10; ++request)
            ++counts[roundRobin.next(split)];
        BOOST_TEST(counts[Core::ServiceId("old")] == 9);
        BOOST_TEST(counts[Core::ServiceId("new")] == 1);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
