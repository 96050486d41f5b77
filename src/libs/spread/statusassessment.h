#pragma once

#include "membership/gossip.h"
#include "spread/configurationstatus.h"
#include "spread/objectreplica.h"

namespace Spread {

/// Decides whether a failure domain's version counts as confirmed, and why not.
auto assess(const Membership::DomainReport& report, const std::vector<Membership::DomainReport>& all,
    const ObjectReplica::Refusal& refused) -> DomainStatus;

} // namespace Spread
