#pragma once

#include "dispatch/requestquarantine.h"

#include <functional>

namespace Dispatch {

/// Informs other entry VMs of requests that may crash upstreams.
class CrashReportPublisher {
public:
    virtual ~CrashReportPublisher() = default;
    /// Invokes the callback exactly once within a bounded time, when each attempt to send the report to another entry
    /// VM has succeeded or failed.
    virtual auto publish(const CrashReport& crashReport, std::function<void()> done) -> void = 0;
};

} // namespace Dispatch
