#pragma once

#include "core/ids.h"
#include "fleet/serviceload.h"
#include "membership/membershipview.h"
#include "ports/clock.h"

#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace Steering {

/// Another entry VM with usable upstreams of a service, and its load.
struct Candidate {
    Fleet::EntryVm vm;
    Fleet::ServiceLoad load;
};

/// Returns the number of usable slots that are neither busy nor needed for queued requests.
auto spareSlots(const Fleet::ServiceLoad& load) -> std::uint32_t;
/// Returns the load of the service; all zero if it is not in the list.
auto loadOf(const std::vector<Fleet::ServiceLoad>& loads, const Core::ServiceId& service) -> Fleet::ServiceLoad;

/// Lists the other entry VMs that can accept requests, by service. Refreshed from the membership view at a limited
/// rate, so that the view is not copied for each request.
class RelayCandidates {
public:
    using ByService = std::map<Core::ServiceId, std::vector<Candidate>>;

    RelayCandidates(const Membership::MembershipView& membership, const Ports::Clock& clock, Core::EntryVmId self);

    /// Never returns null.
    auto current() -> std::shared_ptr<const ByService>;

private:
    [[nodiscard]] auto collect() const -> std::shared_ptr<const ByService>;

    const Membership::MembershipView& m_membership;
    const Ports::Clock& m_clock;
    const Core::EntryVmId m_self;
    std::mutex m_mutex;
    std::shared_ptr<const ByService> m_current;
    Core::Instant m_refreshAt;
};

} // namespace Steering
