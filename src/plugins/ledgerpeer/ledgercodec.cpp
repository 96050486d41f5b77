#include "ledgerpeer/ledgercodec.h"

#include "cbor/cbor.h"
#include "requestcodec/requestcodec.h"

namespace LedgerPeer {

namespace {

    using nlohmann::json;

    constexpr std::int64_t maximumDeadlineMicroseconds = 24LL * 3600 * 1'000'000;

    constexpr auto messageName = "a ledger message";

    /// Thrown by the decoders only, in addition to the exceptions of the JSON library.
    class InvalidField : public std::exception { };

    /// Returns the enumerator with the given value. Throws if the value is greater than that of the last enumerator.
    template <typename Enumeration> auto enumerator(const json& value, Enumeration last) -> Enumeration
    {
        const auto index = value.get<std::uint64_t>();
        if (!value.is_number_unsigned() || index > static_cast<std::uint64_t>(last))
            throw InvalidField();
        return static_cast<Enumeration>(index);
    }

    auto readKey(const json& value) -> Core::RequestKey
    {
        auto key = Core::parseRequestKey(value.get<std::string>());
        if (!key)
            throw InvalidField();
        return std::move(*key);
    }

    auto answerJson(const Core::Answer& answer) -> json
    {
        return { answer.id.value(), answer.upstream.value(), answer.status, answer.contentType, answer.body };
    }

    auto readAnswer(const json& value) -> Core::Answer
    {
        return { Core::RequestId(value.at(0).get<std::string>()), Core::UpstreamId(value.at(1).get<std::string>()),
            value.at(2).get<int>(), value.at(3).get<std::string>(), value.at(4).get<std::string>() };
    }

    auto optionalAnswerJson(const std::optional<Core::Answer>& answer) -> json
    {
        return answer ? answerJson(*answer) : json();
    }

    auto readOptionalAnswer(const json& value) -> std::optional<Core::Answer>
    {
        return value.is_null() ? std::nullopt : std::optional(readAnswer(value));
    }

} // namespace

auto encode(const Core::Incarnation& incarnation) -> std::string { return Cbor::pack(toString(incarnation)); }

auto decodeIncarnation(const std::string& payload) -> Core::Result<Core::Incarnation>
{
    return Cbor::unpack(payload, messageName, [](const json& value) {
        const auto incarnation = Core::parseIncarnation(value.get<std::string>());
        if (!incarnation)
            throw InvalidField();
        return *incarnation;
    });
}

auto encode(const Ledger::Intent& intent) -> std::string
{
    return Cbor::pack({ toString(intent.key), intent.request.value(), intent.fingerprint.value() });
}

auto decodeIntent(const std::string& payload) -> Core::Result<Ledger::Intent>
{
    return Cbor::unpack(payload, messageName, [](const json& value) {
        return Ledger::Intent { readKey(value.at(0)), Core::RequestId(value.at(1).get<std::string>()),
            Ledger::Fingerprint(value.at(2).get<std::uint64_t>()) };
    });
}

auto encode(Ledger::IntentOutcome outcome) -> std::string { return Cbor::pack(static_cast<std::uint64_t>(outcome)); }

auto decodeIntentOutcome(const std::string& payload) -> Core::Result<Ledger::IntentOutcome>
{
    return Cbor::unpack(
        payload, messageName, [](const json& value) { return enumerator(value, Ledger::IntentOutcome::Unreachable); });
}

auto encode(const Ledger::Outcome& outcome) -> std::string
{
    return Cbor::pack({ toString(outcome.key), outcome.request.value(), optionalAnswerJson(outcome.answer) });
}

auto decodeOutcome(const std::string& payload) -> Core::Result<Ledger::Outcome>
{
    return Cbor::unpack(payload, messageName, [](const json& value) {
        return Ledger::Outcome { readKey(value.at(0)), Core::RequestId(value.at(1).get<std::string>()),
            readOptionalAnswer(value.at(2)) };
    });
}

auto encode(const Ledger::Query& query) -> std::string
{
    return Cbor::pack({ toString(query.key), query.request.value(), query.fingerprint.value() });
}

auto decodeQuery(const std::string& payload) -> Core::Result<Ledger::Query>
{
    return Cbor::unpack(payload, messageName, [](const json& value) {
        return Ledger::Query { readKey(value.at(0)), Core::RequestId(value.at(1).get<std::string>()),
            Ledger::Fingerprint(value.at(2).get<std::uint64_t>()) };
    });
}

auto encode(const Ledger::Resolution& resolution) -> std::string
{
    return Cbor::pack({ static_cast<std::uint64_t>(resolution.kind), optionalAnswerJson(resolution.answer) });
}

auto decodeResolution(const std::string& payload) -> Core::Result<Ledger::Resolution>
{
    return Cbor::unpack(payload, messageName, [](const json& value) {
        Ledger::Resolution resolution { enumerator(value.at(0), Ledger::ResolutionKind::OtherRequest),
            readOptionalAnswer(value.at(1)) };
        if ((resolution.kind == Ledger::ResolutionKind::Answered) != resolution.answer.has_value())
            throw InvalidField();
        return resolution;
    });
}

auto encode(const Core::Reply& reply) -> std::string { return Cbor::pack(RequestCodec::toJson(reply)); }

auto decodeReply(const std::string& payload) -> Core::Result<Core::Reply>
{
    return Cbor::unpack(payload, messageName, RequestCodec::replyFrom);
}

auto encode(const Core::ServiceRequest& request, Core::Instant now) -> std::string
{
    return Cbor::pack({ RequestCodec::toJson(request), (request.deadline - now).count() });
}

auto decodeRequest(const std::string& payload, Core::Instant now) -> Core::Result<Core::ServiceRequest>
{
    return Cbor::unpack(payload, messageName, [now](const json& value) {
        const auto remaining = value.at(1).get<std::int64_t>();
        if (remaining > maximumDeadlineMicroseconds || remaining < -maximumDeadlineMicroseconds)
            throw InvalidField();
        auto request = RequestCodec::requestFrom(value.at(0));
        request.deadline = now + Core::Duration(remaining);
        return request;
    });
}

} // namespace LedgerPeer
