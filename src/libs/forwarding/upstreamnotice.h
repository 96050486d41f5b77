#pragma once

#include "core/ids.h"
#include "core/units.h"

#include <functional>

namespace Forwarding {

/// What an entry VM learnt by asking an upstream for its health, sooner than the store tells it.
struct UpstreamNotice {
    Core::ServiceId service;
    Core::UpstreamId upstream;
    bool isHealthy = false;
    /// Time for which it stays cold.
    Core::Duration coldLeft {};
};

using UpstreamNoticeReceiver = std::function<void(const UpstreamNotice&)>;

/// Carries such notices to other entry VMs; some get lost.
class UpstreamNoticePort {
public:
    virtual ~UpstreamNoticePort() = default;
    virtual auto send(const Core::Address& entryVm, const UpstreamNotice& notice) -> void = 0;
};

} // namespace Forwarding
