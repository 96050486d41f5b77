#include "demo.h"

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <thread>

namespace {

constexpr int interruptedExit = 130;

/// Kills all processes of the demonstration and exits when SIGINT or SIGTERM arrives.
auto exitOnSignal() -> void
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGTERM);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::thread([signals] {
        int number = 0;
        sigwait(&signals, &number);
        StandIns::ChildProcess::killAll();
        std::_Exit(interruptedExit);
    }).detach();
}

} // namespace

auto main() -> int
{
    exitOnSignal();
    try {
        const auto failedChecks = Demo::Demo({ DRAGONFLYWINCH_BINARY, STANDINS_BINARY }).run();
        for (const auto& line : failedChecks)
            std::cerr << "FAILED: " << line << '\n';
        std::cout << (failedChecks.empty() ? "all checks passed" : "some checks failed") << '\n';
        return failedChecks.empty() ? EXIT_SUCCESS : EXIT_FAILURE;
    } catch (const std::exception& error) {
        std::cerr << "FAILED: " << error.what() << '\n';
        return EXIT_FAILURE;
    }
}
