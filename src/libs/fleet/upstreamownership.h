#pragma once

#include "fleet/fleetlist.h"

namespace Fleet {

/// Decides for which upstreams of its failure domain this entry VM dispatches requests. While membership views differ,
/// two entry VMs may own the same upstream; this only reduces efficiency.
class UpstreamOwnership {
public:
    virtual ~UpstreamOwnership() = default;
    [[nodiscard]] virtual auto isOwn(const Upstream& upstream) const -> bool = 0;
};

} // namespace Fleet
