#include "jsoncodec/jsoncodec.h"

#include <nlohmann/json.hpp>

namespace JsonCodec {

namespace {

    using nlohmann::json;

    template <typename Id> auto idFrom(const json& object, const char* name) -> Id
    {
        return Id(object.at(name).get<std::string>());
    }

    auto stateFrom(const json& object) -> Fleet::MemberState
    {
        return object.value("state", "live") == "leaving" ? Fleet::MemberState::Leaving : Fleet::MemberState::Live;
    }

    auto entryVmFrom(const json& object) -> Fleet::EntryVm
    {
        return { idFrom<Core::EntryVmId>(object, "id"), idFrom<Core::FailureDomainId>(object, "failureDomain"),
            idFrom<Core::RegionId>(object, "region"), idFrom<Core::Address>(object, "address"),
            idFrom<Core::Address>(object, "peerAddress"), stateFrom(object) };
    }

    auto upstreamFrom(const json& object) -> Fleet::Upstream
    {
        return { idFrom<Core::UpstreamId>(object, "id"), idFrom<Core::ServiceId>(object, "service"),
            idFrom<Core::FailureDomainId>(object, "failureDomain"), idFrom<Core::RegionId>(object, "region"),
            idFrom<Core::Address>(object, "address"), Core::SlotCount(object.at("slots").get<std::uint32_t>()),
            Core::ConnectionCount(object.at("connections").get<std::uint32_t>()), stateFrom(object) };
    }

    auto policyFrom(const std::string& name, const json& object) -> Configuration::ServicePolicy
    {
        Configuration::ServicePolicy policy;
        policy.service = Core::ServiceId(name);
        policy.pool = Core::ServiceId(object.value("pool", name));
        const auto rankText = object.at("rank").get<std::string>();
        const auto rank = Core::parseRank(rankText);
        if (!rank)
            throw std::invalid_argument("unknown rank '" + rankText + "'");
        policy.rank = *rank;
        policy.isIdempotent = object.value("idempotent", policy.isIdempotent);
        policy.needsBackup = object.value("backup", policy.needsBackup);
        policy.targetLatency = Core::Millis(object.value("targetMs", policy.targetLatency.count()));
        policy.worth = object.value("worth", policy.worth);
        policy.floor = Core::Share(object.value("floor", policy.floor.value()));
        policy.maximumBody = Core::Bytes(object.value("maximumBodyBytes", policy.maximumBody.value()));
        return policy;
    }

    auto invalidDocument(const std::exception& error, const char* what) -> tl::unexpected<Core::Error>
    {
        return Core::fail(Core::ErrorKind::InvalidDocument, std::string(what) + " is not valid: " + error.what(),
            "correct it as docs/INTERFACES.md describes; the last valid one stays in force");
    }

} // namespace

auto parseFleetList(const std::string& text, Core::Version version) -> Core::Result<Fleet::FleetList>
{
    try {
        const auto document = json::parse(text);
        Fleet::FleetList list { version, {}, {} };
        for (const auto& object : document.at("entryVms"))
            list.entryVms.push_back(entryVmFrom(object));
        for (const auto& object : document.at("upstreams"))
            list.upstreams.push_back(upstreamFrom(object));
        return list;
    } catch (const std::exception& error) {
        return invalidDocument(error, "the list of VMs");
    }
}

auto parseSteeringDocument(const std::string& text, Core::Version version)
    -> Core::Result<Configuration::SteeringConfiguration>
{
    try {
        const auto document = json::parse(text);
        Configuration::SteeringConfiguration configuration;
        configuration.version = version;
        for (const auto& [team, section] : document.at("sections").items()) {
            for (const auto& [name, object] : section.at("services").items())
                configuration.services[Core::ServiceId(name)] = policyFrom(name, object);
        }
        return configuration;
    } catch (const std::exception& error) {
        return invalidDocument(error, "the steering document");
    }
}

} // namespace JsonCodec
