#pragma once

#include "configuration/steeringconfiguration.h"
#include "core/error.h"
#include "fleet/fleetlist.h"

#include <string>

namespace JsonCodec {

/// Parses the platform's list of VMs. The version is the object's version in the store.
auto parseFleetList(const std::string& text, Core::Version version) -> Core::Result<Fleet::FleetList>;
/// Parses a steering document and composes the configuration that it puts in force. The version is the object's version
/// in the store.
auto parseSteeringDocument(const std::string& text, Core::Version version)
    -> Core::Result<Configuration::SteeringConfiguration>;

} // namespace JsonCodec
