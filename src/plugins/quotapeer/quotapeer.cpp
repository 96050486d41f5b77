#include "quotapeer/quotapeer.h"

#include "cbor/cbor.h"

#include <stdexcept>

namespace QuotaPeer {

namespace {

    using nlohmann::json;
    using Quotas::Permits;

    constexpr auto permitsKind = "quota.permits";
    /// The permits in a message that is not answered in this time are lost.
    constexpr Core::Millis sendTimeout { 300 };
    constexpr std::size_t maximumEntries = 1024;
    /// A larger number is not believed. An answer may grant permits and return given ones.
    const auto maximumPermits = Permits::mostMoved() + Permits::mostMoved();
    constexpr std::size_t maximumVms = 100'000;

    auto decodePermits(const json& value) -> Permits
    {
        const auto permits = Permits::ofUnits(value.get<std::int64_t>());
        if (permits < Permits() || permits > maximumPermits)
            throw std::out_of_range("the number of permits is not in the expected range");
        return permits;
    }

    auto decodeVmCount(const json& value) -> std::size_t
    {
        const auto count = value.get<std::int64_t>();
        if (count < 0 || static_cast<std::size_t>(count) > maximumVms)
            throw std::out_of_range("the number of VMs is not in the expected range");
        return static_cast<std::size_t>(count);
    }

    template <typename Entry, typename Read> auto decodeList(const json& values, Read read) -> std::vector<Entry>
    {
        if (!values.is_array() || values.size() > maximumEntries)
            throw std::out_of_range("the list of organisations is missing or too long");
        std::vector<Entry> entries;
        for (const auto& value : values)
            entries.push_back(read(value));
        return entries;
    }

    auto decodeOrganisation(const json& value) -> Core::OrganisationId
    {
        return Core::OrganisationId(value.get<std::string>());
    }

    auto encode(const Quotas::PermitMessage& message) -> std::string
    {
        json offers = json::array();
        for (const auto& offer : message.offers)
            offers.push_back({ offer.organisation.value(), offer.given.units(), offer.needed.units() });
        return Cbor::pack({ message.sender.value(), message.start.value(), message.sequence, message.delegatedRoom,
            message.vmCount, std::move(offers) });
    }

    auto decodeMessage(const std::string& payload) -> Core::Result<Quotas::PermitMessage>
    {
        return Cbor::unpack(payload, "a message about permits", [](const json& fields) {
            Quotas::PermitMessage message;
            message.sender = Core::EntryVmId(fields.at(0).get<std::string>());
            message.start = Core::ProcessStartId(fields.at(1).get<std::int64_t>());
            message.sequence = fields.at(2).get<std::uint64_t>();
            message.delegatedRoom = fields.at(3).get<double>();
            message.vmCount = decodeVmCount(fields.at(4));
            message.offers = decodeList<Quotas::PermitOffer>(fields.at(5), [](const json& offer) {
                return Quotas::PermitOffer { decodeOrganisation(offer.at(0)), decodePermits(offer.at(1)),
                    decodePermits(offer.at(2)) };
            });
            return message;
        });
    }

    auto encode(const Quotas::PermitReply& reply) -> std::string
    {
        json grants = json::array();
        for (const auto& grant : reply.grants)
            grants.push_back({ grant.organisation.value(), grant.granted.units() });
        json scarce = json::array();
        for (const auto& organisation : reply.scarce)
            scarce.push_back(organisation.value());
        return Cbor::pack({ reply.vmCount, std::move(grants), std::move(scarce) });
    }

    auto decodeReply(const std::string& payload) -> Core::Result<Quotas::PermitReply>
    {
        return Cbor::unpack(payload, "an answer about permits", [](const json& fields) {
            Quotas::PermitReply reply;
            reply.vmCount = decodeVmCount(fields.at(0));
            reply.grants = decodeList<Quotas::PermitGrant>(fields.at(1), [](const json& grant) {
                return Quotas::PermitGrant { decodeOrganisation(grant.at(0)), decodePermits(grant.at(1)) };
            });
            reply.scarce = decodeList<Core::OrganisationId>(fields.at(2), decodeOrganisation);
            return reply;
        });
    }

} // namespace

QuotaPeer::QuotaPeer(Ports::PeerTransport& transport)
    : m_transport(transport)
{
}

auto QuotaPeer::send(const Core::Address& vm, const Quotas::PermitMessage& message, ReplyCallback callback) -> void
{
    m_transport.call(vm, { permitsKind, encode(message) }, sendTimeout,
        [callback = std::move(callback)](const Core::Result<std::string>& reply) {
            if (reply)
                callback(decodeReply(*reply));
            else
                callback(tl::unexpected(reply.error()));
        });
}

auto registerPermitHandler(Ports::PeerRouter& router, Receiver receiver) -> void
{
    router.registerHandler(permitsKind,
        [receiver = std::move(receiver)](const std::string& payload, const Ports::PeerRouter::Respond& respond) {
            const auto message = decodeMessage(payload);
            if (message)
                respond(encode(receiver(*message)));
            else
                respond(tl::unexpected(message.error()));
        });
}

} // namespace QuotaPeer
