#pragma once

#include "fleet/upstreamownership.h"
#include "membership/membershipview.h"
#include "ports/clock.h"

#include <memory>
#include <mutex>

namespace Membership {

/// Assigns the upstreams of a failure domain to its live entry VMs by rendezvous hashing, so that a change of one
/// member moves only that member's upstreams.
class RendezvousOwnership : public Fleet::UpstreamOwnership {
public:
    RendezvousOwnership(const MembershipView& view, const Ports::Clock& clock, const Core::EntryVmId& self,
        Core::FailureDomainId failureDomain);

    [[nodiscard]] auto isOwn(const Fleet::Upstream& upstream) const -> bool override;

private:
    using Names = std::vector<std::string>;

    [[nodiscard]] auto liveNames() const -> std::shared_ptr<const Names>;

    const MembershipView& m_view;
    const Ports::Clock& m_clock;
    const std::string m_self;
    const Core::FailureDomainId m_failureDomain;
    mutable std::mutex m_mutex;
    mutable std::shared_ptr<const Names> m_names;
    mutable Core::Instant m_readAt;
};

} // namespace Membership
