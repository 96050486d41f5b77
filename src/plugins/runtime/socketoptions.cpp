#include "runtime/socketoptions.h"

#include <algorithm>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace Runtime {

namespace {

    auto setOption(int socket, int level, int name, int value) -> void
    {
        // Errors are ignored: without the option, the operating system's own timeouts apply.
        (void)::setsockopt(socket, level, name, &value, sizeof value);
    }

} // namespace

auto setResetOnClose(int socket, bool isEnabled) -> void
{
    const linger option { isEnabled ? 1 : 0, 0 };
    // Errors are ignored: without the option, closing ends the stream in order.
    (void)::setsockopt(socket, SOL_SOCKET, SO_LINGER, &option, sizeof option);
}

auto enableDeadPeerDetection(int socket, Core::Millis timeout) -> void
{
    constexpr int probeIntervalSeconds = 1;
    const auto seconds = static_cast<int>(std::chrono::ceil<std::chrono::seconds>(timeout).count());
    setOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, probeIntervalSeconds);
    setOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, probeIntervalSeconds);
    setOption(socket, IPPROTO_TCP, TCP_KEEPCNT, std::max(1, seconds - 1));
    setOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(timeout.count()));
}

} // namespace Runtime
