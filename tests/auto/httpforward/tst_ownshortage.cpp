#include "exchangefixture.h"

#include <boost/test/unit_test.hpp>
#include <sys/resource.h>
#include <unistd.h>

using namespace HttpForwardTest;

namespace {

/// Leaves this process without a free file descriptor.
class NoDescriptors {
public:
    NoDescriptors()
    {
        getrlimit(RLIMIT_NOFILE, &m_limit);
        // The lowest free descriptor is the first beyond the limit.
        const auto lowest = dup(0);
        ::close(lowest);
        const rlimit none { static_cast<rlim_t>(lowest), m_limit.rlim_max };
        setrlimit(RLIMIT_NOFILE, &none);
    }
    ~NoDescriptors() { setrlimit(RLIMIT_NOFILE, &m_limit); }
    NoDescriptors(const NoDescriptors&) = delete;
    auto operator=(const NoDescriptors&) -> NoDescriptors& = delete;

private:
    rlimit m_limit {};
};

/// A connection to the first process of the upstream is open; the second process needs another.
struct OneConnection : ExchangeClientFixture {
    static constexpr std::int64_t newProcess = 2;

    OneConnection() { BOOST_TEST(toString(exchange(upstream.address(), "r0").outcome) == "answered"); }

    ScriptedUpstream upstream { { answer("ID", "zero"), answer("ID", "two") } };
};

} // namespace

BOOST_AUTO_TEST_SUITE(AVmWithoutFreeDescriptors)

BOOST_FIXTURE_TEST_SUITE(ThatMustOpenAConnection, OneConnection)

BOOST_AUTO_TEST_CASE(SaysThatTheShortageIsItsOwn)
{
    {
        const NoDescriptors none;
        BOOST_TEST(toString(exchange(upstream.address(), "r1", newProcess).outcome) == "own-shortage");
    }
    BOOST_TEST(toString(exchange(upstream.address(), "r2").outcome) == "answered");
}

BOOST_AUTO_TEST_CASE(DoesNotTakeAHealthCheckForFailed)
{
    const NoDescriptors none;
    std::promise<Core::Result<Ports::HealthReport>> promise;
    exchanges.probeHealth(call(upstream.address(), "r1", newProcess).target, "/health",
        [&promise](const Core::Result<Ports::HealthReport>& report) { promise.set_value(report); });
    const auto report = promise.get_future().get();
    BOOST_REQUIRE(!report);
    BOOST_TEST((report.error().kind == Core::ErrorKind::Internal));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
