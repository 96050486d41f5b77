#pragma once

#include "configuration/steeringconfiguration.h"
#include "configuration/steeringdocument.h"
#include "core/error.h"

#include <optional>

namespace Configuration {

/// A value, and the section that sets it.
struct HeldValue {
    Value value;
    SectionId holder;
};

/// Value in force at one path, and the team's value that an override shadows.
struct EffectiveValue {
    ValuePath path;
    HeldValue inForce;
    std::optional<HeldValue> shadowed;
};

/// Effective values sorted by path. An override of a service that no section defines has no effect and is left out.
auto effectiveValues(const SteeringDocument& document) -> std::vector<EffectiveValue>;

/// Configuration that the document puts in force. Fails with InvalidDocument; the message lists every problem.
auto composeConfiguration(const SteeringDocument& document) -> Core::Result<SteeringConfiguration>;

} // namespace Configuration
