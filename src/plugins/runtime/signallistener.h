#pragma once

#include "core/units.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <cstdint>
#include <functional>
#include <vector>

namespace Runtime {

namespace detail {

    /// What the signal handler writes to the listener's pipe.
    struct SignalDelivery {
        std::int32_t signal = 0;
        std::int64_t steadyNanoseconds = 0;
    };

} // namespace detail

/// Receives signals of this process as events of an io_context, with the time at which each was delivered. A busy
/// process handles them later than that. There is at most one listener at a time.
class SignalListener {
public:
    /// The time is that of the steady clock.
    using Callback = std::function<void(int signal, Core::Instant deliveredAt)>;

    /// Catches the signals from now on. Throws std::system_error if no pipe can be opened.
    SignalListener(boost::asio::io_context& context, std::vector<int> signals);
    /// Restores the default actions.
    ~SignalListener();
    SignalListener(const SignalListener&) = delete;
    auto operator=(const SignalListener&) -> SignalListener& = delete;

    /// Calls back for each signal, one after the other, also for those that were delivered earlier. Called once.
    auto start(Callback callback) -> void;

private:
    auto awaitSignal() -> void;

    const std::vector<int> m_signals;
    boost::asio::posix::stream_descriptor m_reader;
    detail::SignalDelivery m_delivery;
    Callback m_callback;
};

} // namespace Runtime
