#include "platform/sitefixture.h"
#include "standins/rawconnection.h"

#include <boost/test/unit_test.hpp>

namespace {

using PlatformTest::SiteFixture;

/// All upstreams answer with a status that HTTP does not define, with id, seal and body as usual.
struct UndefinedStatusFixture : SiteFixture {
    static constexpr unsigned undefinedStatus = 0;

    UndefinedStatusFixture()
    {
        for (int upstream = 0; upstream < 3; ++upstream)
            site.upstream(upstream).setStatus(undefinedStatus);
    }

    /// What the first upstream itself answers.
    auto bytesOfUpstream() -> std::string
    {
        StandIns::RawConnection connection(site.upstreamPort(0));
        connection.send("POST /stock/7 HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: direct\r\nExpect-Instance: i-0\r\n"
                        "Content-Length: 0\r\nConnection: close\r\n\r\n");
        return connection.readToEnd();
    }

    /// Checks that the caller gets a failure of the entry VM's own, or the end of the connection.
    auto checkOwnFailure(int vm, const std::string& target) -> void
    {
        const auto reply = site.send(vm, "c-" + std::to_string(vm) + target, target);
        BOOST_TEST_MESSAGE(target << (reply ? ": status " + std::to_string(reply->status) : ": no answer"));
        if (!reply)
            return;
        BOOST_TEST((reply->status == 502 || reply->status == 504), reply->status);
        BOOST_TEST(!reply->headers.contains("Server-Seal"));
        BOOST_TEST(reply->body.find("done by") == std::string::npos, reply->body);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EntryVmsOnThePlatform, UndefinedStatusFixture)

BOOST_AUTO_TEST_SUITE(WhenUpstreamsAnswerWithTheStatusZero)

/// Issue 41.
BOOST_AUTO_TEST_CASE(TellTheirCallersOfAFailure)
{
    BOOST_REQUIRE(bytesOfUpstream().starts_with("HTTP/1.1 000 "));
    checkOwnFailure(0, "/stock/7");
    checkOwnFailure(1, "/prices/7");
    for (const auto& [id, count] : site.runs())
        BOOST_TEST((id.find("/stock/") == std::string::npos || count == 1), id << " ran " << count << " times");
    BOOST_TEST(site.runs().contains("c-0/stock/7"));
    BOOST_TEST(site.runs().contains("c-1/prices/7"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
