#pragma once

#include "membership/gossip.h"
#include "replication/configurationstatus.h"
#include "replication/objectreplica.h"

namespace Replication {

/// Returns the status of a failure domain: whether its version counts as confirmed, and the reason if it does not.
auto assessDomain(const Membership::DomainReport& report, const std::vector<Membership::DomainReport>& all,
    const ObjectReplica::Refusal& refused) -> DomainStatus;

} // namespace Replication
