#pragma once

#include "app/command.h"

namespace App {

/// Prints the configuration in force in each failure domain, as seen by one entry VM.
class StatusCommand : public Command {
public:
    [[nodiscard]] auto name() const -> std::string override;
    [[nodiscard]] auto summary() const -> std::string override;
    [[nodiscard]] auto help() const -> std::string override;
    auto run(const std::vector<std::string>& arguments) -> ExitCode override;
};

} // namespace App
