#pragma once

#include "app/command.h"

namespace App {

/// Prints what configuration is in force in each failure domain, as one entry VM knows it.
class StatusCommand : public Command {
public:
    [[nodiscard]] auto name() const -> std::string override;
    [[nodiscard]] auto summary() const -> std::string override;
    [[nodiscard]] auto help() const -> std::string override;
    auto run(const std::vector<std::string>& arguments) -> ExitCode override;
};

} // namespace App
