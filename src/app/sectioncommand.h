#pragma once

#include "app/command.h"
#include "settings/resolution.h"

namespace App {

/// Shows, edits and validates sections of the steering document in the platform's store.
class SectionCommand : public Command {
public:
    [[nodiscard]] auto name() const -> std::string override;
    [[nodiscard]] auto summary() const -> std::string override;
    [[nodiscard]] auto help() const -> std::string override;
    auto run(const std::vector<std::string>& arguments) -> ExitCode override;

private:
    auto show(const Settings::Resolution& settings) -> ExitCode;
    auto edit(const Settings::Resolution& settings) -> ExitCode;
    auto validate(const Settings::Resolution& settings) -> ExitCode;
};

} // namespace App
