#include "app/servecommand.h"

#include "app/entryvmprocess.h"
#include "app/problems.h"
#include "settingsoptions/settingsoptions.h"

#include <iostream>

namespace App {

auto ServeCommand::name() const -> std::string { return "serve"; }

auto ServeCommand::summary() const -> std::string { return "run the process of an entry VM"; }

auto ServeCommand::help() const -> std::string
{
    return "usage: dragonflywinch serve --SETTING VALUE...\n\n" + SettingsOptions::describe(serveCatalogue())
        + "\nEach setting can also be given as an environment variable: --peer-listen is DRAGONFLYWINCH_PEER_LISTEN.\n"
          "Flags take precedence over the environment, and the environment over the defaults.\n"
          "SIGTERM or SIGINT starts a graceful shutdown.\n"
          "\nExample:\n"
          "  dragonflywinch serve --id atl-1-vm-1 --failure-domain atl-1 --region atl --listen 10.0.0.7:8080 \\\n"
          "      --peer-listen 10.0.0.7:8081 --store 10.0.9.1:80 --peer 10.0.0.8:8081 --peer 10.1.0.7:8081\n"
          "\nExit codes: 0 shut down gracefully, 1 cannot start (for example, an address is in use), 2 invalid "
          "settings\n";
}

auto ServeCommand::run(const std::vector<std::string>& arguments) -> ExitCode
{
    const auto resolution = resolveServeSettings(arguments);
    if (!resolution.problems().empty()) {
        printProblems(std::cerr, resolution.problems());
        return ExitCode::InvalidUsage;
    }
    try {
        EntryVmProcess(typedServeSettings(resolution)).run();
        return ExitCode::Success;
    } catch (const std::exception& error) {
        std::cerr << "cannot start: " << error.what() << "; check that the addresses are free and belong to this VM\n";
        return ExitCode::Failure;
    }
}

} // namespace App
