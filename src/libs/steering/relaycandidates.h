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

/// Another entry VM that has usable upstreams of a service.
struct Candidate {
    Fleet::EntryVm vm;
    Fleet::ServiceLoad load;
};

/// Slots that are neither busy nor waited for.
auto spareSlots(const Fleet::ServiceLoad& load) -> std::uint32_t;
/// Load of the service; all zero when it is not in the list.
auto loadOf(const std::vector<Fleet::ServiceLoad>& loads, const Core::ServiceId& service) -> Fleet::ServiceLoad;

/// Other entry VMs that can take work, by service. Refreshed from the membership view at a bounded rate, so that a
/// request does not copy the view.
class RelayCandidates {
public:
    using ByService = std::map<Core::ServiceId, std::vector<Candidate>>;

    RelayCandidates(const Membership::MembershipView& membership, const Ports::Clock& clock, Core::EntryVmId self);

    /// Never null.
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
