#include "requestcodec/requestcodec.h"

#include <nlohmann/json.hpp>
#include <stdexcept>

namespace RequestCodec {

namespace {

    using nlohmann::json;

    constexpr std::size_t requestFields = 7;
    constexpr std::size_t answerFields = 5;
    constexpr std::size_t refusalFields = 5;

    auto checkFieldCount(const json& value, std::size_t fields) -> void
    {
        if (!value.is_array() || value.size() != fields)
            throw std::invalid_argument("wrong number of fields");
    }

    template <typename Id> auto idAt(const json& array, std::size_t index) -> Id
    {
        return Id(array.at(index).get<std::string>());
    }

    template <typename Enumeration> auto enumeratorFrom(const json& value, Enumeration last) -> Enumeration
    {
        if (!value.is_number_unsigned() || value.get<std::uint64_t>() > static_cast<std::uint64_t>(last))
            throw std::out_of_range("unknown enumerator");
        return static_cast<Enumeration>(value.get<std::uint64_t>());
    }

    auto keyFrom(const json& value) -> std::optional<Core::RequestKey>
    {
        if (value.is_null())
            return std::nullopt;
        auto key = Core::parseRequestKey(value.get<std::string>());
        if (!key)
            throw std::invalid_argument(key.error().message);
        return std::move(*key);
    }

    auto answerFrom(const json& value) -> Core::Answer
    {
        checkFieldCount(value, answerFields);
        return { idAt<Core::RequestId>(value, 0), idAt<Core::UpstreamId>(value, 1), value.at(2).get<int>(),
            value.at(3).get<std::string>(), value.at(4).get<std::string>() };
    }

    auto refusalFrom(const json& value) -> Core::Refusal
    {
        checkFieldCount(value, refusalFields);
        return { enumeratorFrom(value.at(0), Core::RunOutcome::Unknown),
            enumeratorFrom(value.at(1), Core::RefusalReason::InternalError), value.at(2).get<std::string>(),
            value.at(3).get<std::string>(), value.at(4).get<std::string>() };
    }

} // namespace

auto toJson(const Core::ServiceRequest& request) -> json
{
    return json::array({ request.id.value(), request.service.value(), request.caller.value(),
        request.key ? json(toString(*request.key)) : json(), request.operation, request.body, request.hops });
}

auto requestFrom(const json& value) -> Core::ServiceRequest
{
    checkFieldCount(value, requestFields);
    Core::ServiceRequest request;
    request.id = idAt<Core::RequestId>(value, 0);
    request.service = idAt<Core::ServiceId>(value, 1);
    request.caller = idAt<Core::CallerId>(value, 2);
    request.key = keyFrom(value.at(3));
    request.operation = value.at(4).get<std::string>();
    request.body = value.at(5).get<std::string>();
    request.hops = value.at(6).get<std::uint32_t>();
    return request;
}

auto toJson(const Core::Reply& reply) -> json
{
    if (const auto* answer = std::get_if<Core::Answer>(&reply)) {
        return { { "answer",
            json::array({ answer->id.value(), answer->upstream.value(), answer->status, answer->contentType,
                answer->body }) } };
    }
    const auto& refusal = std::get<Core::Refusal>(reply);
    return { { "refusal",
        json::array({ static_cast<std::uint8_t>(refusal.outcome), static_cast<std::uint8_t>(refusal.reason),
            refusal.message, refusal.remedy, refusal.keyPrefix }) } };
}

auto replyFrom(const json& value) -> Core::Reply
{
    if (value.contains("answer"))
        return answerFrom(value.at("answer"));
    return refusalFrom(value.at("refusal"));
}

} // namespace RequestCodec
