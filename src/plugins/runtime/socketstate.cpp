#include "runtime/socketstate.h"

#include <algorithm>
#include <cerrno>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace Runtime {

auto peek(int socket) -> PeekResult
{
    char byte = 0;
    const auto count = ::recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (count > 0)
        return PeekResult::Bytes;
    const bool isEmpty = count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
    return isEmpty ? PeekResult::Nothing : PeekResult::Closed;
}

auto hasPeerClosed(int socket) -> bool
{
    constexpr int closedSocket = -1;
    // Errors and a hang-up are reported whether they are asked for or not.
    pollfd state { socket, POLLRDHUP, 0 };
    return socket == closedSocket || (::poll(&state, 1, 0) > 0 && state.revents != 0);
}

auto unacknowledgedBytes(int socket) -> Core::Bytes
{
    int bytes = 0;
    // An error leaves the count at zero: the socket is closed, and nothing is known of its bytes.
    (void)::ioctl(socket, TIOCOUTQ, &bytes);
    return Core::Bytes(static_cast<std::uint64_t>(std::max(bytes, 0)));
}

} // namespace Runtime
