#include "app/commandline.h"
#include "app/sectioncommand.h"
#include "app/servecommand.h"
#include "app/settingscommand.h"
#include "app/statuscommand.h"
#include "app/timelinecommand.h"
#include "platform/platformcommand.h"

#include <iostream>

namespace {

auto allCommands() -> std::vector<std::unique_ptr<App::Command>>
{
    std::vector<std::unique_ptr<App::Command>> commands;
    commands.push_back(std::make_unique<App::ServeCommand>());
    commands.push_back(std::make_unique<Platform::PlatformCommand>());
    commands.push_back(std::make_unique<App::SettingsCommand>());
    commands.push_back(std::make_unique<App::SectionCommand>());
    commands.push_back(std::make_unique<App::StatusCommand>());
    commands.push_back(std::make_unique<App::TimelineCommand>());
    return commands;
}

} // namespace

auto main(int argc, char** argv) -> int
{
    App::CommandLine commandLine(allCommands(), { std::cout, std::cerr });
    return static_cast<int>(commandLine.run({ argv + 1, argv + argc }));
}
