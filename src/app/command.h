#pragma once

#include <string>
#include <vector>

namespace App {

enum class ExitCode : int {
    Success = 0,
    Failure = 1,
    InvalidUsage = 2,
    /// The object that the command edits was changed concurrently.
    Conflict = 3,
};

/// Subcommand of the program.
class Command {
public:
    virtual ~Command() = default;
    [[nodiscard]] virtual auto name() const -> std::string = 0;
    /// Returns one line for the list of commands.
    [[nodiscard]] virtual auto summary() const -> std::string = 0;
    /// Returns the text that --help prints: usage, settings, examples and exit codes.
    [[nodiscard]] virtual auto help() const -> std::string { return name() + ": " + summary() + '\n'; }
    /// Runs the command with the arguments that follow its name.
    virtual auto run(const std::vector<std::string>& arguments) -> ExitCode = 0;
};

} // namespace App
