#pragma once

#include "configuration/servicepolicy.h"

#include <map>
#include <memory>

namespace Configuration {

/// Effective configuration: the teams' sections with the founder's overrides applied.
struct SteeringConfiguration {
    /// Version of the steering document that this was made from; 0 when none has been read yet.
    Core::Version version;
    std::map<Core::ServiceId, ServicePolicy> services;
    /// Time for which callers may cache a look-up answer.
    Core::Millis lookupLifetime { 2000 };

    [[nodiscard]] auto find(const Core::ServiceId& service) const -> const ServicePolicy*
    {
        const auto found = services.find(service);
        return found == services.end() ? nullptr : &found->second;
    }
};

/// Where the request path reads the configuration in force; safe to call from several threads.
class ConfigurationSource {
public:
    virtual ~ConfigurationSource() = default;
    /// Never null.
    [[nodiscard]] virtual auto current() const -> std::shared_ptr<const SteeringConfiguration> = 0;
};

} // namespace Configuration
