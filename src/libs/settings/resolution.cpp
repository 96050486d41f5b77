#include "settings/resolution.h"

#include <algorithm>
#include <charconv>

namespace Settings {

namespace {

    auto displayName(const SettingName& name, Source source) -> std::string
    {
        return source == Source::Environment ? environmentVariable(name) : "--" + name.value();
    }

    auto unknownSetting(const Catalogue& catalogue, const SettingName& name, Source source) -> Core::Error
    {
        const auto nearest = catalogue.nearest(name);
        const auto remedy = nearest ? "did you mean " + displayName(*nearest, source) + "?"
                                    : std::string("remove it, or see --help for the known settings");
        return { Core::ErrorKind::InvalidArgument, "unknown setting " + displayName(name, source), remedy };
    }

    auto splitList(const std::string& text) -> std::vector<std::string>
    {
        std::vector<std::string> parts;
        std::size_t start = 0;
        while (start <= text.size()) {
            const auto comma = std::min(text.find(',', start), text.size());
            parts.push_back(text.substr(start, comma - start));
            start = comma + 1;
        }
        return parts;
    }

    auto valuesOf(const Setting& setting, const std::vector<RawValue>& rawValues) -> std::vector<std::string>
    {
        std::vector<std::string> values;
        for (const auto& value : rawValues) {
            if (value.name != setting.name)
                continue;
            if (setting.occurrence != Occurrence::Repeated) {
                values.push_back(value.text);
                continue;
            }
            auto parts = splitList(value.text);
            values.insert(values.end(), parts.begin(), parts.end());
        }
        return values;
    }

    auto selectValues(const Setting& setting, const RawSettings& rawSettings) -> EffectiveSetting
    {
        if (auto values = valuesOf(setting, rawSettings.flags); !values.empty())
            return { setting.name, Source::Flag, std::move(values) };
        if (auto values = valuesOf(setting, rawSettings.environment); !values.empty())
            return { setting.name, Source::Environment, std::move(values) };
        if (!setting.defaultValue.empty())
            return { setting.name, Source::Default, { setting.defaultValue } };
        return { setting.name, Source::Unset, {} };
    }

    auto check(const Setting& setting, const EffectiveSetting& effective, std::vector<Core::Error>& problems) -> void
    {
        const auto name = displayName(setting.name, effective.source);
        if (effective.values.empty() && setting.occurrence == Occurrence::Required) {
            problems.push_back({ Core::ErrorKind::InvalidArgument, name + " is required: " + setting.description,
                "set --" + setting.name.value() + " or " + environmentVariable(setting.name) + "; "
                    + setting.rule->expectation() });
        }
        if (effective.values.size() > 1 && setting.occurrence != Occurrence::Repeated)
            problems.push_back({ Core::ErrorKind::InvalidArgument, name + " is given more than once", "give it once" });
        for (const auto& value : effective.values) {
            if (setting.rule && !setting.rule->accepts(value))
                problems.push_back({ Core::ErrorKind::InvalidArgument, name + " has the invalid value '" + value + "'",
                    setting.rule->expectation() });
        }
    }

    auto checkNames(const Catalogue& catalogue, const std::vector<RawValue>& rawValues, Source source,
        std::vector<Core::Error>& problems) -> void
    {
        for (const auto& value : rawValues) {
            if (catalogue.find(value.name) == nullptr)
                problems.push_back(unknownSetting(catalogue, value.name, source));
        }
    }

} // namespace

auto toString(Source source) -> std::string
{
    switch (source) {
    case Source::Flag:
        return "flag";
    case Source::Environment:
        return "environment";
    case Source::Default:
        return "default";
    case Source::Unset:
        break;
    }
    return "unset";
}

Resolution::Resolution(std::vector<EffectiveSetting> settings, std::vector<Core::Error> problems)
    : m_settings(std::move(settings))
    , m_problems(std::move(problems))
{
}

auto Resolution::list(std::string_view name) const -> std::vector<std::string>
{
    const auto found = std::find_if(m_settings.begin(), m_settings.end(),
        [name](const EffectiveSetting& setting) { return setting.name.value() == name; });
    return found == m_settings.end() ? std::vector<std::string>() : found->values;
}

auto Resolution::text(std::string_view name) const -> std::string
{
    const auto values = list(name);
    return values.empty() ? std::string() : values.front();
}

auto Resolution::integer(std::string_view name) const -> std::int64_t
{
    const auto value = text(name);
    std::int64_t number = 0;
    std::from_chars(value.data(), value.data() + value.size(), number);
    return number;
}

auto Resolution::isSet(std::string_view name) const -> bool { return !list(name).empty(); }

auto resolve(const Catalogue& catalogue, const RawSettings& rawSettings) -> Resolution
{
    auto problems = rawSettings.problems;
    checkNames(catalogue, rawSettings.flags, Source::Flag, problems);
    checkNames(catalogue, rawSettings.environment, Source::Environment, problems);
    std::vector<EffectiveSetting> settings;
    for (const auto& setting : catalogue.settings()) {
        settings.push_back(selectValues(setting, rawSettings));
        check(setting, settings.back(), problems);
    }
    return { std::move(settings), std::move(problems) };
}

} // namespace Settings
