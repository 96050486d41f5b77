#pragma once

#include "ports/clock.h"
#include "ports/randomsource.h"
#include "ports/scheduler.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace Runtime {

/// Reads the monotonic and the wall clock of the operating system.
class SystemClock : public Ports::Clock {
public:
    [[nodiscard]] auto now() const -> Core::Instant override;
    [[nodiscard]] auto wallTime() const -> Core::WallTime override;
};

/// Thread-safe pseudo-random number generator, seeded by the operating system.
class SystemRandom : public Ports::RandomSource {
public:
    auto next() -> std::uint64_t override;

private:
    std::mutex m_mutex;
    std::mt19937_64 m_engine { std::random_device {}() ^ (static_cast<std::uint64_t>(std::random_device {}()) << 32U) };
};

/// Runs one io_context on a fixed number of threads.
class AsioRuntime : public Ports::Scheduler {
public:
    explicit AsioRuntime(std::size_t threadCount);
    ~AsioRuntime() override;

    auto post(Task task) -> void override;
    [[nodiscard]] auto after(Core::Duration delay, Task task) -> std::unique_ptr<Ports::Timer> override;

    auto context() -> boost::asio::io_context& { return m_context; }
    /// Receives the description of an exception that a task threw; called on any thread.
    using FailureCallback = std::function<void(const std::string&)>;

    /// Runs the threads, including the calling one. Blocks until stop() has been called and all threads have ended. A
    /// task that throws ends alone: the callback is told, and the other tasks run on.
    auto run(const FailureCallback& taskFailed) -> void;
    /// Like the above, but an exception of a task ends the program. For programs that do one thing only.
    auto run() -> void;
    auto stop() -> void;

private:
    auto runThreads(const std::function<void()>& runTasks) -> void;

    std::size_t m_threadCount;
    boost::asio::io_context m_context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
};

} // namespace Runtime
