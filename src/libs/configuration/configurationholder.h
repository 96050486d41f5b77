#pragma once

#include "configuration/steeringconfiguration.h"

#include <mutex>

namespace Configuration {

/// Keeps the configuration in force; its version never goes down.
class ConfigurationHolder : public ConfigurationSource {
public:
    [[nodiscard]] auto current() const -> std::shared_ptr<const SteeringConfiguration> override;
    /// Takes the configuration if it is newer than the current one. Returns whether it was taken.
    auto offer(SteeringConfiguration configuration) -> bool;

private:
    mutable std::mutex m_mutex;
    std::shared_ptr<const SteeringConfiguration> m_current = std::make_shared<const SteeringConfiguration>();
};

} // namespace Configuration
