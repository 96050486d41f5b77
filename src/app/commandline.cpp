#include "app/commandline.h"

#include <algorithm>
#include <exception>
#include <iomanip>

namespace App {

namespace {

    constexpr int nameWidth = 12;

    auto isHelp(const std::string& argument) -> bool { return argument == "--help" || argument == "-h"; }

} // namespace

CommandLine::CommandLine(std::vector<std::unique_ptr<Command>> commands, Output output)
    : m_commands(std::move(commands))
    , m_output(output)
{
}

auto CommandLine::run(const std::vector<std::string>& arguments) -> ExitCode
{
    if (arguments.empty()) {
        printUsage(m_output.error);
        return ExitCode::InvalidUsage;
    }
    if (isHelp(arguments.front())) {
        printUsage(m_output.normal);
        return ExitCode::Success;
    }
    if (arguments.front() == "--version") {
        m_output.normal << "dragonflywinch " << DRAGONFLYWINCH_VERSION << '\n';
        return ExitCode::Success;
    }
    for (const auto& command : m_commands) {
        if (command->name() == arguments.front())
            return runCommand(*command, { arguments.begin() + 1, arguments.end() });
    }
    m_output.error << "error: unknown command '" << arguments.front() << "'; see 'dragonflywinch --help'\n";
    return ExitCode::InvalidUsage;
}

auto CommandLine::runCommand(Command& command, const std::vector<std::string>& arguments) -> ExitCode
{
    if (std::any_of(arguments.begin(), arguments.end(), isHelp)) {
        m_output.normal << command.help();
        return ExitCode::Success;
    }
    try {
        return command.run(arguments);
    } catch (const std::exception& error) {
        m_output.error << "error: " << command.name() << " failed: " << error.what() << '\n';
        return ExitCode::Failure;
    }
}

auto CommandLine::printUsage(std::ostream& stream) const -> void
{
    stream << "usage: dragonflywinch COMMAND [--SETTING VALUE...]\n\n";
    for (const auto& command : m_commands)
        stream << "  " << std::left << std::setw(nameWidth) << command->name() << command->summary() << '\n';
    stream << "\n  dragonflywinch COMMAND --help   settings, examples and exit codes of a command\n"
              "  dragonflywinch --version        version of the program\n";
}

} // namespace App
