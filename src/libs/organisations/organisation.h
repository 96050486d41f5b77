#pragma once

#include "core/ids.h"

#include <memory>
#include <optional>
#include <vector>

namespace Organisations {

/// Rate limit on the requests of one organisation, over all entry VMs together.
struct Quota {
    /// Requests per second.
    double rate = 0;
    /// Requests beyond the rate that may be sent at once.
    double burst = 0;

    friend auto operator==(const Quota&, const Quota&) -> bool = default;
};

/// Customer of the platform, whose callers identify themselves by API keys.
struct Organisation {
    Core::OrganisationId id;
    /// Goes before the priority of the routes; none if it is that of the route. 0 is the most
    /// urgent.
    std::optional<int> priority;
    /// Regions that may serve the organisation's requests; empty allows all.
    std::vector<Core::RegionId> homes;
    /// None if the organisation is not limited.
    std::optional<Quota> quota;
};

using OrganisationPointer = std::shared_ptr<const Organisation>;

} // namespace Organisations
