#pragma once

#include "app/command.h"

namespace App {

/// Runs the process of an entry VM until SIGTERM or SIGINT.
class ServeCommand : public Command {
public:
    [[nodiscard]] auto name() const -> std::string override;
    [[nodiscard]] auto summary() const -> std::string override;
    [[nodiscard]] auto help() const -> std::string override;
    auto run(const std::vector<std::string>& arguments) -> ExitCode override;
};

} // namespace App
