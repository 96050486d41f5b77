#include "settingsoptions/settingsoptions.h"

#include <algorithm>
#include <boost/program_options.hpp>
#include <sstream>

extern char** environ;

namespace SettingsOptions {

namespace {

    namespace po = boost::program_options;

    auto buildOptions(const Settings::Catalogue& catalogue) -> po::options_description
    {
        constexpr unsigned lineLength = 110;
        po::options_description options("Settings", lineLength);
        for (const auto& setting : catalogue.settings()) {
            const auto& name = setting.name.value();
            if (setting.occurrence == Settings::Occurrence::Switch) {
                options.add_options()(name.c_str(), setting.description.c_str());
                continue;
            }
            auto text = setting.description;
            if (!setting.defaultValue.empty())
                text += " (default " + setting.defaultValue + ")";
            auto* value = po::value<std::string>()->value_name(setting.rule->placeholder());
            options.add_options()(name.c_str(), value, text.c_str());
        }
        return options;
    }

    auto parseOptions(const po::options_description& options, const std::vector<std::string>& arguments)
        -> std::vector<po::option>
    {
        namespace style = po::command_line_style;
        const int exactLongFlags = style::allow_long | style::long_allow_next | style::long_allow_adjacent;
        return po::command_line_parser(arguments)
            .options(options)
            .style(exactLongFlags)
            .allow_unregistered()
            .run()
            .options;
    }

    auto invalidFlag(const std::string& message, std::string remedy) -> Core::Error
    {
        return { Core::ErrorKind::InvalidArgument, message, std::move(remedy) };
    }

    auto requiresSeparateValue(const Settings::Catalogue& catalogue, const std::string& argument) -> bool
    {
        const auto* setting
            = argument.starts_with("--") ? catalogue.find(Settings::SettingName(argument.substr(2))) : nullptr;
        return setting != nullptr && setting->occurrence != Settings::Occurrence::Switch;
    }

    /// Removes flags whose value is missing and reports them, so that the remaining flags can still be parsed and
    /// checked.
    auto removeIncompleteFlags(const Settings::Catalogue& catalogue, const std::vector<std::string>& arguments,
        std::vector<Core::Error>& problems) -> std::vector<std::string>
    {
        std::vector<std::string> completeArguments;
        for (std::size_t index = 0; index < arguments.size(); ++index) {
            const auto& argument = arguments[index];
            const bool isLast = index + 1 == arguments.size();
            if (!requiresSeparateValue(catalogue, argument)) {
                completeArguments.push_back(argument);
            } else if (isLast || arguments[index + 1].starts_with("--")) {
                problems.push_back(invalidFlag(argument + " has no value", "write " + argument + " VALUE"));
            } else {
                completeArguments.push_back(argument);
                completeArguments.push_back(arguments[++index]);
            }
        }
        return completeArguments;
    }

    auto collectValues(const std::vector<po::option>& options, Settings::RawSettings& rawSettings) -> void
    {
        bool mayBeValueOfUnknownFlag = false;
        for (const auto& option : options) {
            if (!option.string_key.empty() && option.position_key < 0) {
                const auto value = option.value.empty() ? std::string("true") : option.value.front();
                rawSettings.flags.push_back({ Settings::SettingName(option.string_key), value });
                mayBeValueOfUnknownFlag = option.unregistered && option.value.empty();
            } else if (!std::exchange(mayBeValueOfUnknownFlag, false)) {
                const auto token = option.original_tokens.empty() ? std::string() : option.original_tokens.front();
                rawSettings.problems.push_back(
                    invalidFlag("argument '" + token + "' belongs to no setting", "write --NAME VALUE"));
            }
        }
    }

} // namespace

auto parseFlags(const Settings::Catalogue& catalogue, const std::vector<std::string>& arguments)
    -> Settings::RawSettings
{
    Settings::RawSettings rawSettings;
    const auto completeArguments = removeIncompleteFlags(catalogue, arguments, rawSettings.problems);
    try {
        collectValues(parseOptions(buildOptions(catalogue), completeArguments), rawSettings);
    } catch (const po::error& error) {
        rawSettings.problems.push_back(invalidFlag(error.what(), "see --help"));
    }
    return rawSettings;
}

auto readEnvironment() -> std::vector<Settings::RawValue>
{
    std::vector<Settings::RawValue> values;
    for (auto** entry = environ; entry != nullptr && *entry != nullptr; ++entry) {
        const std::string text(*entry);
        const auto equals = std::min(text.find('='), text.size());
        if (const auto name = Settings::settingFromVariable(text.substr(0, equals)))
            values.push_back({ *name, text.substr(std::min(equals + 1, text.size())) });
    }
    return values;
}

auto describe(const Settings::Catalogue& catalogue) -> std::string
{
    std::ostringstream text;
    text << buildOptions(catalogue);
    return text.str();
}

} // namespace SettingsOptions
