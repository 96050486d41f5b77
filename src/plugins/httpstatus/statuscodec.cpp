#include "httpstatus/statuscodec.h"

#include <nlohmann/json.hpp>

namespace HttpStatus {

namespace {

    using nlohmann::json;

    auto milliseconds(Core::Duration duration) -> std::int64_t
    {
        return std::chrono::duration_cast<Core::Millis>(duration).count();
    }

    auto durationAt(const json& object, const char* name) -> Core::Duration
    {
        return Core::Millis(object.at(name).get<std::int64_t>());
    }

    auto versionAt(const json& object, const char* name) -> Core::Version
    {
        return Core::Version(object.at(name).get<std::uint64_t>());
    }

    auto encodeDomain(const Replication::DomainStatus& domain) -> json
    {
        return { { "failureDomain", domain.failureDomain.value() }, { "lowestVersion", domain.lowest.value() },
            { "highestVersion", domain.highest.value() }, { "confirmed", domain.isConfirmed },
            { "reason", domain.reason },
            { "confirmedAgeMs", domain.confirmedAge ? json(milliseconds(*domain.confirmedAge)) : json() },
            { "heardAgeMs", milliseconds(domain.reportAge) } };
    }

    auto decodeDomain(const json& object) -> Replication::DomainStatus
    {
        Replication::DomainStatus domain;
        domain.failureDomain = Core::FailureDomainId(object.at("failureDomain").get<std::string>());
        domain.lowest = versionAt(object, "lowestVersion");
        domain.highest = versionAt(object, "highestVersion");
        domain.isConfirmed = object.at("confirmed").get<bool>();
        domain.reason = object.at("reason").get<std::string>();
        if (!object.at("confirmedAgeMs").is_null())
            domain.confirmedAge = durationAt(object, "confirmedAgeMs");
        domain.reportAge = durationAt(object, "heardAgeMs");
        return domain;
    }

} // namespace

auto encodeStatus(const Replication::ConfigurationStatus& status) -> std::string
{
    auto domains = json::array();
    for (const auto& domain : status.domains)
        domains.push_back(encodeDomain(domain));
    const json object { { "vm", status.vm.value() }, { "failureDomain", status.failureDomain.value() },
        { "version", status.version.value() }, { "inForceForMs", milliseconds(status.inForceFor) },
        { "fleetVersion", status.fleetVersion.value() }, { "refusedVersion", status.refusedVersion.value() },
        { "refusalReason", status.refusalReason }, { "failureDomains", domains } };
    return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

auto decodeStatus(const std::string& text) -> Core::Result<Replication::ConfigurationStatus>
{
    try {
        const auto object = json::parse(text);
        Replication::ConfigurationStatus status;
        status.vm = Core::EntryVmId(object.at("vm").get<std::string>());
        status.failureDomain = Core::FailureDomainId(object.at("failureDomain").get<std::string>());
        status.version = versionAt(object, "version");
        status.inForceFor = durationAt(object, "inForceForMs");
        status.fleetVersion = versionAt(object, "fleetVersion");
        status.refusedVersion = versionAt(object, "refusedVersion");
        status.refusalReason = object.at("refusalReason").get<std::string>();
        for (const auto& domain : object.at("failureDomains"))
            status.domains.push_back(decodeDomain(domain));
        return status;
    } catch (const std::exception& error) {
        return Core::fail(Core::ErrorKind::InvalidMessage, std::string("the status cannot be decoded: ") + error.what(),
            "check that the address is an entry VM's address for callers, and that the versions match");
    }
}

} // namespace HttpStatus
