#pragma once

#include "app/command.h"

#include <memory>
#include <ostream>

namespace App {

/// Runs the command that the arguments name.
class CommandLine {
public:
    struct Output {
        std::ostream& normal;
        std::ostream& error;
    };

    CommandLine(std::vector<std::unique_ptr<Command>> commands, Output output);

    /// Expects the arguments without the program name.
    auto run(const std::vector<std::string>& arguments) -> ExitCode;

private:
    auto printUsage(std::ostream& stream) const -> void;
    auto runCommand(Command& command, const std::vector<std::string>& arguments) -> ExitCode;

    std::vector<std::unique_ptr<Command>> m_commands;
    Output m_output;
};

} // namespace App
