#pragma once

#include "fakes.h"

#include <boost/test/unit_test.hpp>
#include <set>

namespace ForwardingTest {

/// Pool of the upstreams of one service, with a clock that the test advances.
struct PoolFixture {
    PoolFixture() { pool.setSettings({ "/health", Core::Millis(3000), 4 }); }

    auto list(std::vector<Forwarding::UpstreamEntry> entries, const Forwarding::EvacuatedDomains& evacuated = {})
        -> void
    {
        pool.update(entries, evacuated, now);
    }

    auto query(const std::string& object) -> Forwarding::ChoiceQuery
    {
        Forwarding::ChoiceQuery query;
        query.request = Core::RequestId("r" + std::to_string(requests++));
        query.object = Forwarding::ObjectKey(object);
        query.timeLeft = Core::Millis(2000);
        query.targetLatency = Core::Millis(400);
        return query;
    }

    auto choose(const std::string& object) -> Forwarding::ChoiceResult { return pool.choose(query(object), now); }

    auto end(const Forwarding::Choice& choice, const std::string& object,
        Ports::ExchangeOutcome outcome = Ports::ExchangeOutcome::Answered) -> void
    {
        Forwarding::ExchangeReport report;
        report.target = choice.target;
        report.exchange = choice.exchange;
        report.object = Forwarding::ObjectKey(object);
        report.outcome = outcome;
        report.duration = Core::Millis(200);
        report.cacheState = choice.cacheState;
        pool.endExchange(report, now);
    }

    /// Ends the exchange without running the request, with what the upstream says of itself. Returns what was news.
    auto endWithSignals(const Forwarding::Choice& choice, const Ports::UpstreamSignals& signals)
        -> Ports::UpstreamSignals
    {
        Forwarding::ExchangeReport report;
        report.target = choice.target;
        report.exchange = choice.exchange;
        report.outcome = Ports::ExchangeOutcome::NotRun;
        report.signals = signals;
        return pool.endExchange(report, now);
    }

    /// Sends requests for the object one after the other and returns the ids of the upstreams that were chosen.
    auto chosenUpstreams(const std::string& object, int count) -> std::set<std::string>
    {
        std::set<std::string> ids;
        for (int request = 0; request < count; ++request) {
            now += Core::Millis(250);
            const auto choice = choose(object);
            BOOST_REQUIRE(choice);
            ids.insert(choice->target.id.value());
            end(*choice, object);
        }
        return ids;
    }

    Core::Instant now { Core::Millis(10'000) };
    SingleEntryVm entryVms;
    int requests = 0;
    Forwarding::ServicePool pool { stock, { localLocation, entryVms, {} } };
};

struct TwoRegions : PoolFixture {
    TwoRegions()
    {
        list({ upstream("a1"), upstream("a2", "atl-b"), upstream("s1", "sav-a", "sav"),
            upstream("s2", "sav-b", "sav") });
    }
};

} // namespace ForwardingTest
