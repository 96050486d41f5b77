#pragma once

#include "app/command.h"

namespace App {

/// Prints the effective settings of the serve command, the source of each, and any problems.
class SettingsCommand : public Command {
public:
    [[nodiscard]] auto name() const -> std::string override;
    [[nodiscard]] auto summary() const -> std::string override;
    [[nodiscard]] auto help() const -> std::string override;
    auto run(const std::vector<std::string>& arguments) -> ExitCode override;
};

} // namespace App
