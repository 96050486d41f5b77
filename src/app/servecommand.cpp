#include "app/servecommand.h"

#include "app/entryvmprocess.h"

#include <iostream>

namespace App {

auto ServeCommand::name() const -> std::string { return "serve"; }

auto ServeCommand::summary() const -> std::string { return "run the process of an entry VM"; }

auto ServeCommand::run(const std::vector<std::string>& arguments) -> ExitCode
{
    const auto settings = parseServeSettings(arguments);
    if (!settings) {
        std::cerr << describe(settings.error()) << '\n';
        return ExitCode::InvalidUsage;
    }
    try {
        EntryVmProcess(*settings).run();
        return ExitCode::Success;
    } catch (const std::exception& error) {
        std::cerr << "cannot start: " << error.what() << "; check that the addresses are free and belong to this VM\n";
        return ExitCode::Failure;
    }
}

} // namespace App
