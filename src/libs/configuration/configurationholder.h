#pragma once

#include "configuration/steeringconfiguration.h"

#include <mutex>

namespace Configuration {

/// Holds the configuration in force. Its version never decreases.
class ConfigurationHolder : public ConfigurationSource {
public:
    [[nodiscard]] auto current() const -> std::shared_ptr<const SteeringConfiguration> override;
    /// Replaces the current configuration if the given one has a higher version. Returns true if it was replaced.
    auto offer(SteeringConfiguration configuration) -> bool;

private:
    mutable std::mutex m_mutex;
    std::shared_ptr<const SteeringConfiguration> m_current = std::make_shared<const SteeringConfiguration>();
};

} // namespace Configuration
