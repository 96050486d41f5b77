#include "runtime/socketpeek.h"

#include <cerrno>
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

} // namespace Runtime
