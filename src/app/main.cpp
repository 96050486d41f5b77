#include "app/servecommand.h"

#include <iostream>
#include <memory>

namespace {

auto allCommands() -> std::vector<std::unique_ptr<App::Command>>
{
    std::vector<std::unique_ptr<App::Command>> commands;
    commands.push_back(std::make_unique<App::ServeCommand>());
    return commands;
}

auto printUsage(const std::vector<std::unique_ptr<App::Command>>& commands) -> void
{
    std::cout << "usage: dragonflywinch COMMAND [OPTION...]\n\n";
    for (const auto& command : commands)
        std::cout << "  " << command->name() << "\t" << command->summary() << '\n';
}

auto run(const std::vector<std::string>& arguments) -> App::ExitCode
{
    const auto commands = allCommands();
    if (arguments.empty() || arguments.front() == "--help") {
        printUsage(commands);
        return arguments.empty() ? App::ExitCode::InvalidUsage : App::ExitCode::Success;
    }
    if (arguments.front() == "--version") {
        std::cout << "dragonflywinch " << DRAGONFLYWINCH_VERSION << '\n';
        return App::ExitCode::Success;
    }
    for (const auto& command : commands) {
        if (command->name() == arguments.front())
            return command->run({ arguments.begin() + 1, arguments.end() });
    }
    std::cerr << "unknown command '" << arguments.front() << "'; see 'dragonflywinch --help'\n";
    return App::ExitCode::InvalidUsage;
}

} // namespace

auto main(int argc, char** argv) -> int { return static_cast<int>(run({ argv + 1, argv + argc })); }
