#include "runtime/asioruntime.h"

#include <atomic>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

namespace Runtime {

namespace {

    namespace asio = boost::asio;

    /// Timer with its own strand, so that any thread can cancel it safely.
    class AsioTimer : public Ports::Timer {
    public:
        AsioTimer(asio::io_context& context, Core::Duration delay, Ports::Scheduler::Task task)
            : m_state(std::make_shared<State>(context))
        {
            m_state->timer.expires_after(delay);
            m_state->timer.async_wait([state = m_state, task = std::move(task)](boost::system::error_code error) {
                if (!error && !state->isCancelled)
                    task();
            });
        }

        ~AsioTimer() override { requestCancel(); }

        auto cancel() -> void override { requestCancel(); }

    private:
        struct State {
            explicit State(asio::io_context& context)
                : timer(asio::make_strand(context))
            {
            }
            asio::steady_timer timer;
            std::atomic<bool> isCancelled { false };
        };

        auto requestCancel() -> void
        {
            if (!m_state->isCancelled.exchange(true))
                asio::post(m_state->timer.get_executor(), [state = m_state] { state->timer.cancel(); });
        }

        std::shared_ptr<State> m_state;
    };

} // namespace

auto SystemClock::now() const -> Core::Instant
{
    const auto sinceEpoch = std::chrono::steady_clock::now().time_since_epoch();
    return Core::Instant(std::chrono::duration_cast<Core::Duration>(sinceEpoch));
}

auto SystemClock::wallTime() const -> Core::WallTime
{
    return std::chrono::time_point_cast<std::chrono::microseconds>(std::chrono::system_clock::now());
}

auto SystemRandom::next() -> std::uint64_t
{
    const std::lock_guard lock(m_mutex);
    return m_engine();
}

AsioRuntime::AsioRuntime(std::size_t threadCount)
    : m_threadCount(threadCount)
    , m_context(static_cast<int>(threadCount))
    , m_work(boost::asio::make_work_guard(m_context))
{
}

AsioRuntime::~AsioRuntime() { stop(); }

auto AsioRuntime::post(Task task) -> void { asio::post(m_context, std::move(task)); }

auto AsioRuntime::after(Core::Duration delay, Task task) -> std::unique_ptr<Ports::Timer>
{
    return std::make_unique<AsioTimer>(m_context, delay, std::move(task));
}

auto AsioRuntime::run(const FailureCallback& taskFailed) -> void
{
    runThreads([this, &taskFailed] {
        while (!m_context.stopped()) {
            try {
                m_context.run();
            } catch (const std::exception& error) {
                taskFailed(error.what());
            }
        }
    });
}

auto AsioRuntime::run() -> void
{
    runThreads([this] { m_context.run(); });
}

auto AsioRuntime::runThreads(const std::function<void()>& runTasks) -> void
{
    std::vector<std::jthread> threads;
    for (std::size_t index = 1; index < m_threadCount; ++index)
        threads.emplace_back(runTasks);
    runTasks();
}

auto AsioRuntime::stop() -> void { m_context.stop(); }

} // namespace Runtime
