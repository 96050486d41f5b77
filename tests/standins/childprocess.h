#pragma once

#include <condition_variable>
#include <mutex>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace StandIns {

/// Runs a program as a child process and collects the lines of its standard output. The destructor kills the process.
class ChildProcess {
public:
    /// Throws std::runtime_error if the program cannot be started.
    ChildProcess(const std::string& program, std::vector<std::string> arguments);
    ~ChildProcess();
    ChildProcess(const ChildProcess&) = delete;
    auto operator=(const ChildProcess&) -> ChildProcess& = delete;

    /// Kills all child processes that still run. For use by a thread that handles signals.
    static auto killAll() -> void;

    auto signal(int number) -> void;
    [[nodiscard]] auto pid() const -> pid_t { return m_pid; }
    /// Waits until the process ends. Returns its exit code, or 128 plus the number of the signal that ended it.
    auto wait() -> int;
    /// Waits until the process has closed its output and returns all lines.
    [[nodiscard]] auto allLines() -> std::vector<std::string>;
    [[nodiscard]] auto lines() const -> std::vector<std::string>;
    /// Waits for the end of the output and returns all lines. Must be called after wait().
    [[nodiscard]] auto allLines() const -> std::vector<std::string>;
    /// Waits until a line contains the text and returns that line. Throws std::runtime_error after 20 s.
    [[nodiscard]] auto waitForLine(const std::string& text) const -> std::string;

private:
    auto readLines(int descriptor) -> void;

    pid_t m_pid = -1;
    bool m_hasEnded = false;
    mutable std::mutex m_mutex;
    std::vector<std::string> m_lines;
    bool m_isOutputClosed = false;
    mutable std::condition_variable m_outputClosed;
    std::thread m_reader;
};

} // namespace StandIns
