#pragma once

#include "dispatch/requestquarantine.h"
#include "fleet/fleetlist.h"

#include <functional>

namespace CrashReports {

/// Sends crash reports to other entry VMs.
class CrashReportSender {
public:
    virtual ~CrashReportSender() = default;
    /// Invokes the callback exactly once within a bounded time, whether or not the report was delivered.
    virtual auto send(
        const Fleet::EntryVm& target, const Dispatch::CrashReport& crashReport, std::function<void()> callback) -> void
        = 0;
};

} // namespace CrashReports
