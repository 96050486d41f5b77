#pragma once

#include "configuration/configurationholder.h"
#include "dispatch/rankeddispatcher.h"
#include "support/simulatedupstreams.h"

namespace DispatchTest {

using namespace std::chrono_literals;

class OwnsAllUpstreams : public Fleet::UpstreamOwnership {
public:
    [[nodiscard]] auto isOwn(const Fleet::Upstream&) const -> bool override { return true; }
};

/// Provides a RankedDispatcher with simulated upstreams of the pool "stock".
struct RankedDispatcherFixture {
    explicit RankedDispatcherFixture(std::uint64_t seed = 1)
        : upstreams(time, seed, 1ms)
    {
        configuration.offer({ .version = Core::Version(1), .slowStart = Core::Millis(1000) });
    }

    auto listUpstreams(const std::vector<std::string>& names, std::uint32_t slots) -> void
    {
        Fleet::FleetList list { Core::Version(fleet.current()->version.value() + 1), {}, {} };
        for (const auto& name : names) {
            upstreams.behaviour(Core::UpstreamId(name)).slots = slots;
            list.upstreams.push_back({ Core::UpstreamId(name), Core::ServiceId("stock"), Core::FailureDomainId("atl-1"),
                Core::RegionId("atl"), Core::Address(name), Core::SlotCount(slots), Core::ConnectionCount(8) });
        }
        fleet.offer(std::move(list));
    }

    static auto policyFor(Core::Rank rank) -> Configuration::ServicePolicy
    {
        return {
            .service = Core::ServiceId(std::string(toString(rank))), .pool = Core::ServiceId("stock"), .rank = rank
        };
    }

    auto send(const std::string& id, const Configuration::ServicePolicy& policy, Core::Duration timeout = 1s,
        const std::string& caller = "desk", const std::string& body = {}) -> void
    {
        Core::ServiceRequest request;
        request.id = Core::RequestId(id);
        request.service = policy.service;
        request.caller = Core::CallerId(caller);
        request.deadline = time.now() + timeout;
        request.body = body.empty() ? id : body;
        dispatcher.dispatch(std::move(request), policy, [this, id](Core::Reply reply) {
            order.push_back(id);
            replies.emplace(id, std::move(reply));
        });
    }

    auto isAnswered(const std::string& id) const -> bool
    {
        return replies.contains(id) && std::holds_alternative<Core::Answer>(replies.at(id));
    }

    auto isRefused(const std::string& id, Core::RunOutcome outcome, Core::RefusalReason reason) const -> bool
    {
        if (!replies.contains(id))
            return false;
        const auto* refusal = std::get_if<Core::Refusal>(&replies.at(id));
        return refusal != nullptr && refusal->outcome == outcome && refusal->reason == reason;
    }

    auto isRefusedNotRun(const std::string& id, Core::RefusalReason reason) const -> bool
    {
        return isRefused(id, Core::RunOutcome::NotRun, reason);
    }

    auto arrivalsAt(const std::string& upstream) const -> std::uint64_t
    {
        return upstreams.records()[Core::UpstreamId(upstream)].arrivals;
    }

    TestSupport::VirtualTime time;
    TestSupport::SimulatedUpstreams upstreams;
    Fleet::FleetHolder fleet;
    Configuration::ConfigurationHolder configuration;
    OwnsAllUpstreams ownership;
    Dispatch::RankedDispatcher dispatcher { { time, time, upstreams, fleet, configuration, ownership },
        Core::FailureDomainId("atl-1") };
    std::vector<std::string> order;
    std::map<std::string, Core::Reply> replies;
};

} // namespace DispatchTest
