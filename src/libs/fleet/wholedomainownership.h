#pragma once

#include "fleet/upstreamownership.h"

namespace Fleet {

/// Owns every upstream of its failure domain. Correct only if that domain has a single entry VM.
class WholeDomainOwnership : public UpstreamOwnership {
public:
    explicit WholeDomainOwnership(Core::FailureDomainId failureDomain)
        : m_failureDomain(std::move(failureDomain))
    {
    }

    [[nodiscard]] auto isOwn(const Upstream& upstream) const -> bool override
    {
        return upstream.failureDomain == m_failureDomain;
    }

private:
    Core::FailureDomainId m_failureDomain;
};

} // namespace Fleet
