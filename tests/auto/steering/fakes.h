#pragma once

#include "configuration/configurationholder.h"
#include "dispatch/dispatcher.h"
#include "fleet/fleetholder.h"
#include "membership/membershipview.h"
#include "ports/clock.h"
#include "ports/eventsink.h"
#include "ports/randomsource.h"
#include "steering/creditports.h"
#include "steering/relayport.h"

#include <random>

namespace Fakes {

class VirtualClock : public Ports::Clock {
public:
    [[nodiscard]] auto now() const -> Core::Instant override { return time; }
    [[nodiscard]] auto wallTime() const -> Core::WallTime override { return {}; }

    Core::Instant time { Core::Millis(1'000'000) };
};

class SeededRandom : public Ports::RandomSource {
public:
    auto next() -> std::uint64_t override { return engine(); }

    std::mt19937_64 engine { 7 };
};

class NullEventSink : public Ports::EventSink {
public:
    auto record(Ports::Event) -> void override { }
};

class FixedLoads : public Fleet::LoadSource {
public:
    [[nodiscard]] auto serviceLoads() const -> std::vector<Fleet::ServiceLoad> override { return loads; }

    std::vector<Fleet::ServiceLoad> loads;
};

class FixedMembership : public Membership::MembershipView {
public:
    [[nodiscard]] auto members() const -> std::vector<Membership::Member> override { return list; }
    [[nodiscard]] auto find(const Core::EntryVmId& vm) const -> std::optional<Membership::Member> override
    {
        for (const auto& member : list) {
            if (member.vm.id == vm)
                return member;
        }
        return std::nullopt;
    }

    std::vector<Membership::Member> list;
};

/// Holds requests until the test answers them.
class ManualDispatcher : public Dispatch::Dispatcher {
public:
    auto dispatch(Core::ServiceRequest request, const Configuration::ServicePolicy&, Core::ReplyCallback callback)
        -> void override
    {
        requests.push_back(std::move(request));
        callbacks.push_back(std::move(callback));
    }

    std::vector<Core::ServiceRequest> requests;
    std::vector<Core::ReplyCallback> callbacks;
};

/// Holds relayed requests until the test completes them.
class ManualRelayPort : public Steering::RelayPort {
public:
    struct Relay {
        Core::EntryVmId target;
        Steering::RelayCall call;
        Steering::RelayCallback callback;
    };

    auto relay(const Fleet::EntryVm& target, Steering::RelayCall call, Steering::RelayCallback callback)
        -> void override
    {
        relays.push_back({ target.id, std::move(call), std::move(callback) });
    }

    std::vector<Relay> relays;
};

/// Holds requests for credits until the test answers them.
class ManualCreditPort : public Steering::CreditPort {
public:
    struct PendingRequest {
        Core::EntryVmId destination;
        Steering::CreditRequest request;
        GrantCallback callback;
    };

    auto requestCredits(const Fleet::EntryVm& destination, Steering::CreditRequest request, GrantCallback callback)
        -> void override
    {
        requests.push_back({ destination.id, std::move(request), std::move(callback) });
    }

    std::vector<PendingRequest> requests;
};

inline const Core::ServiceId stock { "stock" };

inline auto loadOf(std::uint32_t usable, std::uint32_t busy, std::uint32_t queued = 0) -> Fleet::ServiceLoad
{
    return { stock, Core::SlotCount(usable), Core::SlotCount(busy), queued, Core::Millis(10) };
}

inline auto memberOf(const std::string& id, const std::string& failureDomain, const std::string& region,
    const Fleet::ServiceLoad& load) -> Membership::Member
{
    Membership::Member member;
    member.vm = { Core::EntryVmId(id), Core::FailureDomainId(failureDomain), Core::RegionId(region),
        Core::Address(id + ":1"), Core::Address(id + ":2") };
    member.keyPrefix = id + "-prefix";
    member.loads = { load };
    return member;
}

inline auto stockPolicy(bool isIdempotent = true) -> Configuration::ServicePolicy
{
    Configuration::ServicePolicy policy;
    policy.service = stock;
    policy.rank = Core::Rank::Urgent;
    policy.isIdempotent = isIdempotent;
    return policy;
}

inline auto configurationWith(std::uint64_t version, const Configuration::ServicePolicy& policy)
    -> Configuration::SteeringConfiguration
{
    Configuration::SteeringConfiguration configuration;
    configuration.version = Core::Version(version);
    configuration.services[policy.service] = policy;
    configuration.slowStart = Core::Millis(0);
    return configuration;
}

} // namespace Fakes
