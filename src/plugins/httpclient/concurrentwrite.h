#pragma once

#include "runtime/strandevent.h"

#include <boost/system/error_code.hpp>

namespace HttpClient::detail {

/// Write of a request that goes on while the response is read. Belongs to its connection's strand.
class ConcurrentWrite {
public:
    template <typename Executor>
    explicit ConcurrentWrite(const Executor& executor)
        : m_ended(executor)
    {
    }

    auto start() -> void;
    /// Called with the result of the write.
    auto end(const boost::system::error_code& result) -> void;
    /// Returns true if the write is in progress or has failed.
    [[nodiscard]] auto isIncomplete() const -> bool { return m_isInProgress || m_result.failed(); }
    /// Waits for the end of the write and returns its result.
    auto wait() -> boost::asio::awaitable<boost::system::error_code>;

private:
    bool m_isInProgress = false;
    boost::system::error_code m_result;
    Runtime::StrandEvent m_ended;
};

} // namespace HttpClient::detail
