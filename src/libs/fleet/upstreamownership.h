#pragma once

#include "fleet/fleetlist.h"

namespace Fleet {

/// Which upstreams of its failure domain this entry VM dispatches for. While membership views differ, two entry VMs
/// may own one upstream; that costs efficiency only.
class UpstreamOwnership {
public:
    virtual ~UpstreamOwnership() = default;
    [[nodiscard]] virtual auto isOwn(const Upstream& upstream) const -> bool = 0;
};

} // namespace Fleet
