#include "app/settingscommand.h"

#include "app/problems.h"
#include "app/servesettings.h"
#include "settingsoptions/settingsoptions.h"

#include <algorithm>
#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>

namespace App {

namespace {

    using nlohmann::json;

    constexpr auto jsonFlag = "--json";
    constexpr int nameWidth = 22;
    constexpr int sourceWidth = 13;

    auto printText(const Settings::Resolution& resolution) -> void
    {
        for (const auto& setting : resolution.settings()) {
            std::cout << std::left << std::setw(nameWidth) << setting.name.value() << std::setw(sourceWidth)
                      << toString(setting.source);
            for (const auto& value : setting.values)
                std::cout << value << ' ';
            std::cout << '\n';
        }
        printProblems(std::cerr, resolution.problems());
    }

    auto printJson(const Settings::Resolution& resolution) -> void
    {
        auto settings = json::array();
        for (const auto& setting : resolution.settings()) {
            settings.push_back({ { "name", setting.name.value() }, { "source", toString(setting.source) },
                { "variable", environmentVariable(setting.name) }, { "values", setting.values } });
        }
        auto problems = json::array();
        for (const auto& problem : resolution.problems())
            problems.push_back({ { "message", problem.message }, { "remedy", problem.remedy } });
        constexpr int indent = 2;
        const json report { { "settings", settings }, { "problems", problems } };
        std::cout << report.dump(indent, ' ', false, json::error_handler_t::replace) << '\n';
    }

} // namespace

auto SettingsCommand::name() const -> std::string { return "settings"; }

auto SettingsCommand::summary() const -> std::string { return "print and check the effective settings of serve"; }

auto SettingsCommand::help() const -> std::string
{
    return "usage: dragonflywinch settings [--json] --SETTING VALUE...\n\n"
        + SettingsOptions::describe(serveCatalogue())
        + "\nPrints each setting's effective value and its source: flag, environment, default or unset.\n"
          "\nExamples:\n"
          "  dragonflywinch settings\n"
          "  DRAGONFLYWINCH_LISTEN=10.0.0.7:8080 dragonflywinch settings --id atl-1-vm-1 --json\n"
          "\nExit codes: 0 the settings are valid, 2 the settings are invalid\n";
}

auto SettingsCommand::run(const std::vector<std::string>& arguments) -> ExitCode
{
    auto serveArguments = arguments;
    const bool isJson = std::erase(serveArguments, jsonFlag) > 0;
    const auto resolution = resolveServeSettings(serveArguments);
    if (isJson)
        printJson(resolution);
    else
        printText(resolution);
    return resolution.problems().empty() ? ExitCode::Success : ExitCode::InvalidUsage;
}

} // namespace App
