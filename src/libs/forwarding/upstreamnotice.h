#pragma once

#include "core/error.h"
#include "core/ids.h"
#include "core/units.h"

#include <functional>
#include <vector>

namespace Forwarding {

/// Health check result of one entry VM, which reaches the others sooner than an update of the store.
struct UpstreamNotice {
    Core::ServiceId service;
    Core::UpstreamId upstream;
    bool isHealthy = false;
    /// Remaining time for which the upstream is cold.
    Core::Duration coldRemaining {};
};

using UpstreamNotices = std::vector<UpstreamNotice>;
using UpstreamNoticeReceiver = std::function<void(const UpstreamNotices&)>;

/// Sends notices to other entry VMs.
class UpstreamNoticePort {
public:
    using DoneCallback = std::function<void(Core::Result<void>)>;

    virtual ~UpstreamNoticePort() = default;
    /// Sends the notices in one message, once. Calls back exactly once: with an error if the entry VM did not confirm
    /// them in time.
    virtual auto send(const Core::Address& entryVm, const UpstreamNotices& notices, DoneCallback callback) -> void = 0;
};

} // namespace Forwarding
