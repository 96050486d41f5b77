#pragma once

#include "membership/gossip.h"
#include "spread/configurationstatus.h"
#include "spread/objectreplica.h"

namespace Spread {

/// Returns the status of a failure domain: whether its version counts as confirmed, and the reason if it does not.
auto assessDomain(const Membership::DomainReport& report, const std::vector<Membership::DomainReport>& all,
    const ObjectReplica::Refusal& refused) -> DomainStatus;

} // namespace Spread
