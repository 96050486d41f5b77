#include "metrics/metrics.h"

#include <boost/test/unit_test.hpp>
#include <thread>

namespace {

auto contains(const std::string& text, const std::string& part) -> bool { return text.find(part) != std::string::npos; }

struct MetricsFixture {
    auto endRequest(Core::Duration latency, std::optional<Core::RefusalReason> refusal = {}) -> void
    {
        metrics.requestStarted(stock);
        metrics.requestEnded({ stock, Core::Rank::Urgent, latency, refusal, Core::RunOutcome::NotRun });
    }

    Core::ServiceId stock { "stock" };
    std::uint64_t version = 7;
    Metrics::Metrics metrics {
        { { "configuration_version", Metrics::CallbackMetric::Type::Gauge, [this] { return version; } } }
    };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RequestsEndOnSeveralThreads, MetricsFixture)

BOOST_AUTO_TEST_CASE(ThenTheirLatenciesAreMergedByServiceAndRank)
{
    {
        std::vector<std::jthread> threads;
        for (int index = 0; index < 4; ++index)
            threads.emplace_back([this] { endRequest(Core::Millis(2)); });
    }
    endRequest(std::chrono::seconds(200));
    const auto text = metrics.text();
    BOOST_TEST(contains(text, "# TYPE dragonflywinch_request_duration_seconds histogram"), text);
    BOOST_TEST(contains(text, "_bucket{service=\"stock\",rank=\"urgent\",le=\"+Inf\"} 5"), text);
    BOOST_TEST(contains(text, "_bucket{service=\"stock\",rank=\"urgent\",le=\"100\"} 4"), text);
    BOOST_TEST(contains(text, "_count{service=\"stock\",rank=\"urgent\"} 5"), text);
    BOOST_TEST(contains(text, "requests_in_flight{service=\"stock\"} 0"), text);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(RequestsAreRefused, MetricsFixture)

BOOST_AUTO_TEST_CASE(ThenTheyAreCountedByReasonAndOutcome)
{
    endRequest(Core::Millis(1), Core::RefusalReason::Overloaded);
    endRequest(Core::Millis(1), Core::RefusalReason::Overloaded);
    metrics.upstreamEnded(stock, Ports::UpstreamOutcome::Shed);
    metrics.requestStarted(Core::ServiceId("a\"b\\c"));
    const auto text = metrics.text();
    BOOST_TEST(contains(text, "refusals_total{service=\"stock\",reason=\"overloaded\",outcome=\"not-run\"} 2"), text);
    BOOST_TEST(contains(text, "upstream_outcomes_total{service=\"stock\",outcome=\"shed\"} 1"), text);
    BOOST_TEST(contains(text, "requests_in_flight{service=\"a\\\"b\\\\c\"} 1"), text);
    BOOST_TEST(contains(text, "dragonflywinch_configuration_version 7"), text);
}

BOOST_AUTO_TEST_SUITE_END()
