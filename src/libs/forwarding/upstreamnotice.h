#pragma once

#include "core/ids.h"
#include "core/units.h"

#include <functional>

namespace Forwarding {

/// Health check result of one entry VM, which reaches the others sooner than an update of the store.
struct UpstreamNotice {
    Core::ServiceId service;
    Core::UpstreamId upstream;
    bool isHealthy = false;
    /// Remaining time for which the upstream is cold.
    Core::Duration coldRemaining {};
};

using UpstreamNoticeReceiver = std::function<void(const UpstreamNotice&)>;

/// Sends notices to other entry VMs; delivery is not guaranteed.
class UpstreamNoticePort {
public:
    virtual ~UpstreamNoticePort() = default;
    virtual auto send(const Core::Address& entryVm, const UpstreamNotice& notice) -> void = 0;
};

} // namespace Forwarding
