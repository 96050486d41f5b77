#pragma once

#include "dispatch/requestquarantine.h"

#include <functional>

namespace Dispatch {

/// Informs other entry VMs of requests that may crash upstreams.
class CrashReportPublisher {
public:
    virtual ~CrashReportPublisher() = default;
    /// Invokes the callback once, when the other entry VMs have received the report or the timeout has expired.
    virtual auto publish(const CrashReport& crashReport, std::function<void()> done) -> void = 0;
};

} // namespace Dispatch
