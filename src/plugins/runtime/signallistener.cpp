#include "runtime/signallistener.h"

#include "core/invariant.h"

#include <array>
#include <atomic>
#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <cerrno>
#include <csignal>
#include <ctime>
#include <fcntl.h>
#include <system_error>
#include <unistd.h>

namespace Runtime {

namespace {

    constexpr std::int64_t nanosecondsPerSecond = 1'000'000'000;
    constexpr int noDescriptor = -1;

    /// End of the listener's pipe that the signal handler writes to.
    std::atomic<int> signalWriter { noDescriptor };

    /// Calls async-signal-safe functions only.
    auto handleSignal(int signal) -> void
    {
        const int savedError = errno;
        timespec now {};
        ::clock_gettime(CLOCK_MONOTONIC, &now);
        const detail::SignalDelivery delivery { signal, now.tv_sec * nanosecondsPerSecond + now.tv_nsec };
        // A full pipe holds earlier signals that have not been read, so that this one can be dropped.
        [[maybe_unused]] const auto written = ::write(signalWriter, &delivery, sizeof delivery);
        errno = savedError;
    }

    auto setAction(int signal, void (*handler)(int)) -> void
    {
        struct sigaction action { };
        action.sa_handler = handler;
        action.sa_flags = SA_RESTART;
        ::sigfillset(&action.sa_mask);
        ::sigaction(signal, &action, nullptr);
    }

} // namespace

SignalListener::SignalListener(boost::asio::io_context& context, std::vector<int> signals)
    : m_signals(std::move(signals))
    , m_reader(context)
{
    std::array<int, 2> descriptors {};
    if (::pipe2(descriptors.data(), O_CLOEXEC | O_NONBLOCK) != 0)
        throw std::system_error(errno, std::generic_category(), "cannot open a pipe for signals");
    m_reader.assign(descriptors[0]);
    const int previous = signalWriter.exchange(descriptors[1]);
    Core::invariant(previous == noDescriptor, "runtime.one-signal-listener");
    for (const int signal : m_signals)
        setAction(signal, handleSignal);
}

SignalListener::~SignalListener()
{
    for (const int signal : m_signals)
        setAction(signal, SIG_DFL);
    ::close(signalWriter.exchange(noDescriptor));
}

auto SignalListener::start(Callback callback) -> void
{
    m_callback = std::move(callback);
    awaitSignal();
}

auto SignalListener::awaitSignal() -> void
{
    boost::asio::async_read(m_reader, boost::asio::buffer(&m_delivery, sizeof m_delivery),
        [this](boost::system::error_code error, std::size_t) {
            if (error)
                return;
            const std::chrono::nanoseconds sinceEpoch(m_delivery.steadyNanoseconds);
            m_callback(m_delivery.signal, Core::Instant(std::chrono::duration_cast<Core::Duration>(sinceEpoch)));
            awaitSignal();
        });
}

} // namespace Runtime
