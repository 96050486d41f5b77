#include "relaypeer/relaycodec.h"

#include "cbor/cbor.h"
#include "requestcodec/requestcodec.h"

namespace RelayPeer {

namespace {

    using nlohmann::json;

    constexpr Core::Duration maximumTimeLeft = std::chrono::hours(24);

    constexpr auto messageName = "a relay message";

    auto unsignedFrom(const json& value, std::uint64_t maximum) -> std::uint64_t
    {
        if (!value.is_number_unsigned() || value.get<std::uint64_t>() > maximum)
            throw std::out_of_range("number out of range");
        return value.get<std::uint64_t>();
    }

    auto uint32From(const json& value) -> std::uint32_t
    {
        return static_cast<std::uint32_t>(unsignedFrom(value, std::numeric_limits<std::uint32_t>::max()));
    }

    auto uint64From(const json& value) -> std::uint64_t
    {
        return unsignedFrom(value, std::numeric_limits<std::uint64_t>::max());
    }

    auto durationFrom(const json& value) -> Core::Duration
    {
        const auto microseconds = unsignedFrom(value, static_cast<std::uint64_t>(maximumTimeLeft.count()));
        return Core::Duration(static_cast<std::int64_t>(microseconds));
    }

    auto durationToJson(Core::Duration duration) -> json
    {
        const auto bounded = std::clamp(duration, Core::Duration::zero(), maximumTimeLeft);
        return static_cast<std::uint64_t>(bounded.count());
    }

    auto creditToJson(const std::optional<Steering::CreditId>& credit) -> json
    {
        return credit ? json::array({ credit->grant.value(), credit->index }) : json();
    }

    auto creditFrom(const json& value) -> std::optional<Steering::CreditId>
    {
        if (value.is_null())
            return std::nullopt;
        return Steering::CreditId { Steering::GrantId(uint64From(value.at(0))), uint32From(value.at(1)) };
    }

} // namespace

auto encode(const Steering::RelayCall& call) -> std::string
{
    return Cbor::pack(json::array({ RequestCodec::toJson(call.request), durationToJson(call.timeLeft),
        call.source.value(), call.attempt.value(), creditToJson(call.credit) }));
}

auto decodeRelayCall(const std::string& payload) -> Core::Result<Steering::RelayCall>
{
    return Cbor::unpack(payload, messageName, [](const json& value) {
        return Steering::RelayCall { RequestCodec::requestFrom(value.at(0)), durationFrom(value.at(1)),
            Core::FailureDomainId(value.at(2).get<std::string>()), Steering::AttemptId(uint64From(value.at(3))),
            creditFrom(value.at(4)) };
    });
}

auto encode(const Core::Reply& reply) -> std::string { return Cbor::pack(RequestCodec::toJson(reply)); }

auto decodeReply(const std::string& payload) -> Core::Result<Core::Reply>
{
    return Cbor::unpack(payload, messageName, [](const json& value) { return RequestCodec::replyFrom(value); });
}

auto encode(const Steering::CreditRequest& request) -> std::string
{
    return Cbor::pack(json::array({ request.source.value(), request.service.value(), request.wanted }));
}

auto decodeCreditRequest(const std::string& payload) -> Core::Result<Steering::CreditRequest>
{
    return Cbor::unpack(payload, messageName, [](const json& value) {
        return Steering::CreditRequest { Core::FailureDomainId(value.at(0).get<std::string>()),
            Core::ServiceId(value.at(1).get<std::string>()), uint32From(value.at(2)) };
    });
}

auto encode(const Steering::CreditGrant& grant) -> std::string
{
    return Cbor::pack(json::array({ grant.id.value(), grant.count, durationToJson(grant.lifetime) }));
}

auto decodeCreditGrant(const std::string& payload) -> Core::Result<Steering::CreditGrant>
{
    return Cbor::unpack(payload, messageName, [](const json& value) {
        return Steering::CreditGrant { Steering::GrantId(uint64From(value.at(0))), uint32From(value.at(1)),
            durationFrom(value.at(2)) };
    });
}

} // namespace RelayPeer
