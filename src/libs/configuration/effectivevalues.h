#pragma once

#include "configuration/steeringconfiguration.h"
#include "configuration/steeringdocument.h"
#include "core/error.h"

#include <optional>

namespace Configuration {

/// Value together with the section that sets it.
struct SourcedValue {
    Value value;
    SectionId definingSection;
};

/// Value in force at one path, and the team's value if an override shadows it.
struct EffectiveValue {
    ValuePath path;
    SourcedValue inForce;
    std::optional<SourcedValue> shadowed;
};

/// Returns the effective values sorted by path. Overrides of a service that no section defines have no effect and are
/// omitted.
auto effectiveValues(const SteeringDocument& document) -> std::vector<EffectiveValue>;

/// Builds the effective configuration of the document. Fails with InvalidDocument; the message lists every problem.
auto composeConfiguration(const SteeringDocument& document) -> Core::Result<SteeringConfiguration>;

} // namespace Configuration
