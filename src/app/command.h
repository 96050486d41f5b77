#pragma once

#include <string>
#include <vector>

namespace App {

enum class ExitCode : int {
    Success = 0,
    Failure = 1,
    InvalidUsage = 2,
    /// Somebody else changed what the command was to change.
    Conflict = 3,
};

/// Subcommand of the binary.
class Command {
public:
    virtual ~Command() = default;
    [[nodiscard]] virtual auto name() const -> std::string = 0;
    /// One line for the list of commands.
    [[nodiscard]] virtual auto summary() const -> std::string = 0;
    /// Usage, settings, examples and exit codes; printed by --help.
    [[nodiscard]] virtual auto help() const -> std::string { return name() + ": " + summary() + '\n'; }
    /// Runs with the arguments after the command's name.
    virtual auto run(const std::vector<std::string>& arguments) -> ExitCode = 0;
};

} // namespace App
