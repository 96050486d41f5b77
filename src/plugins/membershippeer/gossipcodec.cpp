#include "membershippeer/gossipcodec.h"

#include "cbor/cbor.h"

namespace MembershipPeer {

namespace {

    using Membership::DigestEntry;
    using Membership::DomainReport;
    using Membership::Freshness;
    using Membership::Gossip;
    using Membership::Liveness;
    using Membership::LocalVersions;
    using Membership::MemberRecord;
    using nlohmann::json;

    constexpr std::int64_t noConfirmation = -1;

    template <typename Id> auto idAt(const json& array, std::size_t index) -> Id
    {
        return Id(array.at(index).get<std::string>());
    }

    template <typename Number> auto numberAt(const json& array, std::size_t index) -> Number
    {
        return Number(array.at(index).get<std::remove_cvref_t<decltype(std::declval<Number>().value())>>());
    }

    /// Ages are encoded in whole milliseconds.
    auto packAge(Core::Duration age) -> std::int64_t
    {
        return age == Core::Duration::max() ? noConfirmation : std::chrono::duration_cast<Core::Millis>(age).count();
    }

    auto unpackAge(const json& value) -> Core::Duration
    {
        const auto milliseconds = value.get<std::int64_t>();
        return milliseconds < 0 ? Core::Duration::max() : Core::Duration(Core::Millis(milliseconds));
    }

    auto pack(const Freshness& freshness) -> json
    {
        return json::array({ freshness.generation.value(), freshness.sequence.value(),
            static_cast<std::uint8_t>(freshness.liveness) });
    }

    auto unpackFreshness(const json& value) -> Freshness
    {
        const auto liveness = value.at(2).get<std::uint8_t>();
        if (liveness > static_cast<std::uint8_t>(Liveness::Dead))
            throw std::out_of_range("unknown liveness");
        return { numberAt<Membership::Generation>(value, 0), numberAt<Membership::Sequence>(value, 1),
            static_cast<Liveness>(liveness) };
    }

    auto pack(const Fleet::ServiceLoad& load) -> json
    {
        return json::array({ load.service.value(), load.usableSlots.value(), load.busySlots.value(), load.queued,
            load.meanServiceTime.count() });
    }

    auto unpackLoad(const json& value) -> Fleet::ServiceLoad
    {
        return { idAt<Core::ServiceId>(value, 0), numberAt<Core::SlotCount>(value, 1),
            numberAt<Core::SlotCount>(value, 2), value.at(3).get<std::uint32_t>(),
            Core::Duration(value.at(4).get<std::int64_t>()) };
    }

    auto pack(const MemberRecord& record) -> json
    {
        auto loads = json::array();
        for (const auto& load : record.loads)
            loads.push_back(pack(load));
        const auto& vm = record.vm;
        return json::array({ vm.id.value(), vm.failureDomain.value(), vm.region.value(), vm.address.value(),
            vm.peerAddress.value(), record.incarnation.high, record.incarnation.low, pack(record.freshness),
            record.isLeaving, record.keyPrefix, record.configurationVersion.value(), std::move(loads) });
    }

    auto unpackRecord(const json& value) -> MemberRecord
    {
        MemberRecord record;
        record.vm = { idAt<Core::EntryVmId>(value, 0), idAt<Core::FailureDomainId>(value, 1),
            idAt<Core::RegionId>(value, 2), idAt<Core::Address>(value, 3), idAt<Core::Address>(value, 4) };
        record.incarnation = { value.at(5).get<std::uint64_t>(), value.at(6).get<std::uint64_t>() };
        record.freshness = unpackFreshness(value.at(7));
        record.isLeaving = value.at(8).get<bool>();
        record.keyPrefix = value.at(9).get<std::string>();
        record.configurationVersion = numberAt<Core::Version>(value, 10);
        for (const auto& load : value.at(11))
            record.loads.push_back(unpackLoad(load));
        return record;
    }

    auto pack(const DigestEntry& entry) -> json { return json::array({ entry.vm.value(), pack(entry.freshness) }); }

    auto unpackDigestEntry(const json& value) -> DigestEntry
    {
        return { idAt<Core::EntryVmId>(value, 0), unpackFreshness(value.at(1)) };
    }

    auto pack(const DomainReport& report) -> json
    {
        return json::array({ report.failureDomain.value(), report.lowest.value(), report.highest.value(),
            packAge(report.confirmedAge), packAge(report.reportAge) });
    }

    auto unpackReport(const json& value) -> DomainReport
    {
        return { idAt<Core::FailureDomainId>(value, 0), numberAt<Core::Version>(value, 1),
            numberAt<Core::Version>(value, 2), unpackAge(value.at(3)), unpackAge(value.at(4)) };
    }

    template <typename Item> auto packAll(const std::vector<Item>& items) -> json
    {
        auto packed = json::array();
        for (const auto& item : items)
            packed.push_back(pack(item));
        return packed;
    }

    template <typename Unpack> auto unpackAll(const json& values, Unpack unpack)
    {
        std::vector<decltype(unpack(values))> items;
        for (const auto& value : values)
            items.push_back(unpack(value));
        return items;
    }

    auto pack(const Gossip& gossip) -> json
    {
        const auto& versions = gossip.versions;
        return json::array({ gossip.sender.value(), gossip.failureDomain.value(), gossip.senderAddress.value(),
            json::array({ versions.document.value(), versions.documentDigest, versions.fleet.value(),
                packAge(versions.confirmedAge), versions.refusedVersion.value(), versions.refusalReason }),
            packAll(gossip.records), packAll(gossip.digest), packAll(gossip.domains) });
    }

    auto unpackGossip(const json& value) -> Gossip
    {
        const auto& versions = value.at(3);
        return { idAt<Core::EntryVmId>(value, 0), idAt<Core::FailureDomainId>(value, 1), idAt<Core::Address>(value, 2),
            LocalVersions { numberAt<Core::Version>(versions, 0), versions.at(1).get<std::uint64_t>(),
                numberAt<Core::Version>(versions, 2), unpackAge(versions.at(3)), numberAt<Core::Version>(versions, 4),
                versions.at(5).get<std::string>() },
            unpackAll(value.at(4), unpackRecord), unpackAll(value.at(5), unpackDigestEntry),
            unpackAll(value.at(6), unpackReport) };
    }

    constexpr auto messageName = "a gossip message";

} // namespace

auto encodeGossip(const Gossip& gossip) -> std::string { return Cbor::pack(pack(gossip)); }

auto decodeGossip(const std::string& payload) -> Core::Result<Gossip>
{
    return Cbor::unpack(payload, messageName, unpackGossip);
}

auto encodeRelayedProbe(const RelayedProbe& probe) -> std::string
{
    return Cbor::pack(json::array({ probe.target.value(), pack(probe.gossip) }));
}

auto decodeRelayedProbe(const std::string& payload) -> Core::Result<RelayedProbe>
{
    return Cbor::unpack(payload, messageName, [](const json& value) {
        return RelayedProbe { idAt<Core::Address>(value, 0), unpackGossip(value.at(1)) };
    });
}

} // namespace MembershipPeer
