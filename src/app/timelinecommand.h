#pragma once

#include "app/command.h"

namespace App {

/// Merges the timelines of several entry VMs and log files into one.
class TimelineCommand : public Command {
public:
    [[nodiscard]] auto name() const -> std::string override;
    [[nodiscard]] auto summary() const -> std::string override;
    [[nodiscard]] auto help() const -> std::string override;
    auto run(const std::vector<std::string>& arguments) -> ExitCode override;
};

} // namespace App
