#include "dispatch/fifodispatcher.h"

#include <boost/test/unit_test.hpp>

namespace {

class FixedClock : public Ports::Clock {
public:
    [[nodiscard]] auto now() const -> Core::Instant override { return Core::Instant(Core::Millis(1)); }
    [[nodiscard]] auto wallTime() const -> Core::WallTime override { return {}; }
};

class ManualUpstreams : public Ports::UpstreamClient {
public:
    auto send(Ports::UpstreamCall call, ResultCallback callback) -> void override
    {
        calls.push_back(std::move(call));
        callbacks.push_back(std::move(callback));
    }
    auto queryLoad(const Core::Address&, LoadCallback) -> void override { }
    auto cancel(const Core::Address&, const Core::RequestId&, CancelCallback) -> void override { }

    std::vector<Ports::UpstreamCall> calls;
    std::vector<ResultCallback> callbacks;
};

struct FifoDispatcherFixture {
    FifoDispatcherFixture()
    {
        Fleet::FleetList list { Core::Version(1), {}, {} };
        list.upstreams.push_back({ Core::UpstreamId("u1"), Core::ServiceId("stock"), Core::FailureDomainId("atl-1"),
            Core::RegionId("atl"), Core::Address("127.0.0.1:1"), Core::SlotCount(1), Core::ConnectionCount(8) });
        fleet.offer(std::move(list));
    }

    auto send(const std::string& id) -> void
    {
        Core::ServiceRequest request;
        request.id = Core::RequestId(id);
        request.service = Core::ServiceId("stock");
        request.deadline = Core::Instant(Core::Millis(1000));
        dispatcher.dispatch(request, {}, [this](Core::Reply reply) { replies.push_back(std::move(reply)); });
    }

    FixedClock clock;
    ManualUpstreams upstreams;
    Fleet::FleetHolder fleet;
    Dispatch::FifoDispatcher dispatcher { { clock, upstreams, fleet }, Core::FailureDomainId("atl-1") };
    std::vector<Core::Reply> replies;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AnUpstreamWithOneSlot, FifoDispatcherFixture)

BOOST_AUTO_TEST_CASE(GetsTheSecondRequestOnlyAfterTheFirstAnswer)
{
    send("first");
    send("second");
    BOOST_TEST(upstreams.calls.size() == 1U);
    upstreams.callbacks[0]({ Ports::UpstreamOutcome::Answered, { Core::RequestId("first"), {}, 200, {}, "whole" } });
    BOOST_TEST(upstreams.calls.size() == 2U);
    BOOST_REQUIRE(replies.size() == 1U);
    BOOST_TEST(std::get<Core::Answer>(replies[0]).body == "whole");
}

BOOST_AUTO_TEST_CASE(ThatLosesItsConnectionGivesAnUnknownOutcome)
{
    send("first");
    upstreams.callbacks[0]({ Ports::UpstreamOutcome::Lost });
    BOOST_REQUIRE(replies.size() == 1U);
    BOOST_TEST((std::get<Core::Refusal>(replies[0]).outcome == Core::RunOutcome::Unknown));
}

BOOST_AUTO_TEST_SUITE_END()
