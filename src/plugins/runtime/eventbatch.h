#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/strand.hpp>

namespace Runtime {

/// Connections or datagrams of one socket that are taken together. If each waited behind all other events that are
/// ready, a busy process would take only one for each round of its events.
inline constexpr int eventBatch = 64;

/// Accepts connections that wait in the listening socket's queue, up to the limit, and passes each to the callback.
template <typename Socket, typename Acceptor, typename Callback>
auto acceptWaiting(Acceptor& acceptor, boost::asio::io_context& context, int limit, Callback callback) -> void
{
    boost::system::error_code error;
    acceptor.non_blocking(true, error);
    for (int accepted = 0; !error && accepted < limit; ++accepted) {
        Socket socket(boost::asio::make_strand(context));
        acceptor.accept(socket, error);
        if (!error)
            callback(std::move(socket));
    }
}

} // namespace Runtime
