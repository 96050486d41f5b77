#pragma once

#include "configuration/steeringconfiguration.h"
#include "core/error.h"
#include "fleet/fleetlist.h"

#include <string>

namespace JsonCodec {

/// Parses the platform's list of VMs; the version comes from the store.
auto parseFleetList(const std::string& text, Core::Version version) -> Core::Result<Fleet::FleetList>;
/// Parses a steering document into the configuration that is in force with it; the version comes from the store.
auto parseSteeringDocument(const std::string& text, Core::Version version)
    -> Core::Result<Configuration::SteeringConfiguration>;

} // namespace JsonCodec
