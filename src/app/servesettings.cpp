#include "app/servesettings.h"

#include "settingsoptions/settingsoptions.h"

namespace App {

namespace {

    using Settings::AddressRule;
    using Settings::Occurrence;
    using Settings::Setting;
    using Settings::SettingName;

    constexpr std::int64_t maximumThreads = 64;
    constexpr std::int64_t minimumTimelineCapacity = 256;
    constexpr std::int64_t maximumTimelineCapacity = 100'000;
    constexpr std::int64_t maximumLeaveLimit = 600'000;
    constexpr std::int64_t maximumConnectionLimit = 100'000;

    auto identitySettings() -> std::vector<Setting>
    {
        const auto identifier = std::make_shared<Settings::IdentifierRule>();
        return {
            { SettingName("id"), "name of this entry VM", identifier, Occurrence::Required, {} },
            { SettingName("failure-domain"), "failure domain of this entry VM", identifier, Occurrence::Required, {} },
            { SettingName("region"), "region of this entry VM", identifier, Occurrence::Required, {} },
        };
    }

    auto addressSettings() -> std::vector<Setting>
    {
        const auto bindAddressRule = std::make_shared<AddressRule>(AddressRule::PortZero::Allowed);
        const auto remoteAddressRule = std::make_shared<AddressRule>(AddressRule::PortZero::Refused);
        return {
            { SettingName("listen"), "address for callers", bindAddressRule, Occurrence::Required, {} },
            { SettingName("peer-listen"), "address for other entry VMs", bindAddressRule, Occurrence::Required, {} },
            { SettingName("store"), "address of the platform's object API", remoteAddressRule, Occurrence::Required,
                {} },
            { SettingName("peer"), "peer address of an entry VM to contact first", remoteAddressRule,
                Occurrence::Repeated, {} },
            { SettingName("admin-listen"), "additional address for metrics, timeline and log level", bindAddressRule,
                Occurrence::Optional, {} },
        };
    }

    auto resourceSettings() -> std::vector<Setting>
    {
        using Settings::IntegerRule;
        return {
            { SettingName("threads"), "threads of the process", std::make_shared<IntegerRule>(1, maximumThreads),
                Occurrence::Optional, "2" },
            { SettingName("maximum-connections"), "connections of callers that are open at the same time",
                std::make_shared<IntegerRule>(1, maximumConnectionLimit), Occurrence::Optional, "4096" },
            { SettingName("leave-limit-ms"), "longest time that a planned stop waits for look-up answers to expire",
                std::make_shared<IntegerRule>(0, maximumLeaveLimit), Occurrence::Optional, "10000" },
            { SettingName("timeline-capacity"), "events that the timeline holds",
                std::make_shared<IntegerRule>(minimumTimelineCapacity, maximumTimelineCapacity), Occurrence::Optional,
                "8192" },
            { SettingName("log-level"), "least severe level that is logged",
                std::make_shared<Settings::ChoiceRule>(
                    std::vector<std::string> { "debug", "info", "warning", "error" }),
                Occurrence::Optional, "info" },
        };
    }

    auto allSettings() -> std::vector<Setting>
    {
        auto settings = identitySettings();
        for (auto&& group : { addressSettings(), resourceSettings() })
            settings.insert(settings.end(), group.begin(), group.end());
        return settings;
    }

} // namespace

auto serveCatalogue() -> const Settings::Catalogue&
{
    static const Settings::Catalogue catalogue(allSettings());
    return catalogue;
}

auto resolveServeSettings(const std::vector<std::string>& arguments) -> Settings::Resolution
{
    auto rawSettings = SettingsOptions::parseFlags(serveCatalogue(), arguments);
    rawSettings.environment = SettingsOptions::readEnvironment();
    return Settings::resolve(serveCatalogue(), rawSettings);
}

auto typedServeSettings(const Settings::Resolution& resolution) -> ServeSettings
{
    ServeSettings settings;
    settings.id = Core::EntryVmId(resolution.text("id"));
    settings.failureDomain = Core::FailureDomainId(resolution.text("failure-domain"));
    settings.region = Core::RegionId(resolution.text("region"));
    settings.listen = Core::Address(resolution.text("listen"));
    settings.peerListen = Core::Address(resolution.text("peer-listen"));
    settings.store = Core::Address(resolution.text("store"));
    settings.threads = static_cast<std::size_t>(resolution.integer("threads"));
    for (const auto& peer : resolution.list("peer"))
        settings.peers.emplace_back(peer);
    settings.adminListen = Core::Address(resolution.text("admin-listen"));
    settings.logLevel = resolution.text("log-level");
    settings.timelineCapacity = static_cast<std::size_t>(resolution.integer("timeline-capacity"));
    settings.maximumConnections = static_cast<std::size_t>(resolution.integer("maximum-connections"));
    settings.leaveLimit = Core::Millis(resolution.integer("leave-limit-ms"));
    return settings;
}

} // namespace App
