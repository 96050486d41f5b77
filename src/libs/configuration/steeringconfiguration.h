#pragma once

#include "configuration/servicepolicy.h"

#include <map>
#include <memory>
#include <set>
#include <vector>

namespace Configuration {

/// Limits the traffic that steering may send from one region to another.
struct LinkBudget {
    Core::RegionId from;
    Core::RegionId to;
    Core::Mbit limit;
};

/// Effective configuration: the teams' sections with the founder's overrides applied.
struct SteeringConfiguration {
    /// Version of the steering document that this was built from; 0 if none has been read yet.
    Core::Version version;
    std::map<Core::ServiceId, ServicePolicy> services;
    /// Time for which callers may cache a look-up answer.
    Core::Millis lookupLifetime { 2000 };
    /// Relative share of the traffic that a failure domain should receive; 1 for domains that are not listed.
    std::map<Core::FailureDomainId, double> weights;
    /// Failure domains that receive no new requests.
    std::set<Core::FailureDomainId> drained;
    /// Largest part of a failure domain's traffic that may move within one look-up lifetime, 0 to 1.
    Core::Share movementCap { 0.1 };
    std::vector<LinkBudget> linkBudgets;
    /// Retries allowed as a share of first attempts, 0 to 1.
    Core::Share retryBudget { 0.1 };
    /// Largest part of a service's upstreams that may be ejected at the same time, 0 to 1.
    Core::Share ejectionLimit { 0.3 };
    /// Time over which a new or returning upstream is ramped up to its full share.
    Core::Millis slowStart { 5000 };

    [[nodiscard]] auto find(const Core::ServiceId& service) const -> const ServicePolicy*
    {
        const auto found = services.find(service);
        return found == services.end() ? nullptr : &found->second;
    }
};

/// Provides the configuration in force to the request path. Thread-safe.
class ConfigurationSource {
public:
    virtual ~ConfigurationSource() = default;
    /// Never returns nullptr.
    [[nodiscard]] virtual auto current() const -> std::shared_ptr<const SteeringConfiguration> = 0;
};

} // namespace Configuration
