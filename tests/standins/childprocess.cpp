#include "standins/childprocess.h"

#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <set>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>

extern char** environ;

namespace StandIns {

namespace {

    constexpr auto lineTimeout = std::chrono::seconds(20);
    constexpr auto pollInterval = std::chrono::milliseconds(5);
    constexpr int signalExitBase = 128;

    /// Child processes that wait() has not reaped yet.
    struct ProcessRegistry {
        std::mutex mutex;
        std::set<pid_t> pids;
    };

    auto runningProcesses() -> ProcessRegistry&
    {
        static ProcessRegistry instance;
        return instance;
    }

    auto spawn(const std::string& program, std::vector<std::string> arguments, int outputDescriptor) -> pid_t
    {
        arguments.insert(arguments.begin(), program);
        std::vector<char*> pointers;
        for (auto& argument : arguments)
            pointers.push_back(argument.data());
        pointers.push_back(nullptr);
        posix_spawn_file_actions_t actions;
        posix_spawn_file_actions_init(&actions);
        posix_spawn_file_actions_adddup2(&actions, outputDescriptor, STDOUT_FILENO);
        // The parent may block signals that the child must receive.
        sigset_t noSignals;
        sigemptyset(&noSignals);
        posix_spawnattr_t attributes;
        posix_spawnattr_init(&attributes);
        posix_spawnattr_setsigmask(&attributes, &noSignals);
        posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGMASK);
        pid_t pid = -1;
        const int error = ::posix_spawn(&pid, program.c_str(), &actions, &attributes, pointers.data(), environ);
        posix_spawnattr_destroy(&attributes);
        posix_spawn_file_actions_destroy(&actions);
        if (error != 0)
            throw std::runtime_error("cannot start " + program);
        return pid;
    }

} // namespace

ChildProcess::ChildProcess(const std::string& program, std::vector<std::string> arguments)
{
    int descriptors[2] = { -1, -1 };
    if (::pipe2(descriptors, O_CLOEXEC) != 0)
        throw std::runtime_error("cannot create a pipe");
    m_pid = spawn(program, std::move(arguments), descriptors[1]);
    ::close(descriptors[1]);
    {
        const std::lock_guard lock(runningProcesses().mutex);
        runningProcesses().pids.insert(m_pid);
    }
    m_reader = std::thread([this, descriptor = descriptors[0]] { readLines(descriptor); });
}

ChildProcess::~ChildProcess()
{
    if (!m_hasEnded) {
        ::kill(m_pid, SIGKILL);
        wait();
    }
    if (m_reader.joinable())
        m_reader.join();
}

auto ChildProcess::killAll() -> void
{
    const std::lock_guard lock(runningProcesses().mutex);
    for (const auto pid : runningProcesses().pids)
        ::kill(pid, SIGKILL);
}

auto ChildProcess::signal(int number) -> void { ::kill(m_pid, number); }

auto ChildProcess::wait() -> int
{
    int status = 0;
    ::waitpid(m_pid, &status, 0);
    m_hasEnded = true;
    {
        const std::lock_guard lock(runningProcesses().mutex);
        runningProcesses().pids.erase(m_pid);
    }
    return WIFEXITED(status) ? WEXITSTATUS(status) : signalExitBase + WTERMSIG(status);
}

auto ChildProcess::allLines() -> std::vector<std::string>
{
    if (m_reader.joinable())
        m_reader.join();
    return lines();
}

auto ChildProcess::lines() const -> std::vector<std::string>
{
    const std::lock_guard lock(m_mutex);
    return m_lines;
}

auto ChildProcess::allLines() const -> std::vector<std::string>
{
    std::unique_lock lock(m_mutex);
    m_outputClosed.wait(lock, [this] { return m_isOutputClosed; });
    return m_lines;
}

auto ChildProcess::waitForLine(const std::string& text) const -> std::string
{
    const auto deadline = std::chrono::steady_clock::now() + lineTimeout;
    while (std::chrono::steady_clock::now() < deadline) {
        for (const auto& line : lines()) {
            if (line.find(text) != std::string::npos)
                return line;
        }
        std::this_thread::sleep_for(pollInterval);
    }
    throw std::runtime_error("no output line contains '" + text + "'");
}

auto ChildProcess::readLines(int descriptor) -> void
{
    auto* stream = ::fdopen(descriptor, "r");
    char* buffer = nullptr;
    std::size_t capacity = 0;
    for (;;) {
        const auto length = ::getline(&buffer, &capacity, stream);
        if (length < 0)
            break;
        const std::lock_guard lock(m_mutex);
        m_lines.emplace_back(buffer, static_cast<std::size_t>(length));
    }
    std::free(buffer);
    {
        const std::lock_guard lock(m_mutex);
        m_isOutputClosed = true;
    }
    m_outputClosed.notify_all();
    std::fclose(stream);
}

} // namespace StandIns
