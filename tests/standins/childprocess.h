#pragma once

#include <condition_variable>
#include <mutex>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace StandIns {

/// Process started by a test; killed when the object is destroyed. Collects the lines of its standard output.
class ChildProcess {
public:
    /// Throws std::runtime_error when the program cannot be started.
    ChildProcess(const std::string& program, std::vector<std::string> arguments);
    ~ChildProcess();
    ChildProcess(const ChildProcess&) = delete;
    auto operator=(const ChildProcess&) -> ChildProcess& = delete;

    /// Kills every process that is still running; for signal handling threads.
    static auto killAll() -> void;

    auto signal(int number) -> void;
    [[nodiscard]] auto pid() const -> pid_t { return m_pid; }
    /// Waits for the end and returns the exit code, or 128 plus the signal's number.
    auto wait() -> int;
    /// Lines after the process has ended and closed its output.
    [[nodiscard]] auto allLines() -> std::vector<std::string>;
    [[nodiscard]] auto lines() const -> std::vector<std::string>;
    /// Lines until the end of the output; call it after wait().
    [[nodiscard]] auto allLines() const -> std::vector<std::string>;
    /// Waits until a line contains the text and returns the line; throws std::runtime_error after 20 s.
    [[nodiscard]] auto waitForLine(const std::string& text) const -> std::string;

private:
    auto readLines(int descriptor) -> void;

    pid_t m_pid = -1;
    bool m_hasEnded = false;
    mutable std::mutex m_mutex;
    std::vector<std::string> m_lines;
    bool m_hasReadAll = false;
    mutable std::condition_variable m_readAll;
    std::thread m_reader;
};

} // namespace StandIns
