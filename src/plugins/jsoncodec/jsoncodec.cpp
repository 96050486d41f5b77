#include "jsoncodec/jsoncodec.h"

#include "configuration/effectivevalues.h"
#include "jsoncodec/jsondocumentcodec.h"

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
    return JsonDocumentCodec().decode(text, version).and_then(Configuration::composeConfiguration);
}

} // namespace JsonCodec
