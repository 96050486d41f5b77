#pragma once

#include "core/error.h"
#include "forwarding/placementsettings.h"

#include <boost/program_options/options_description.hpp>

namespace App {

/// Options that set the weights of the choice of an upstream; the settings must outlive them.
auto placementOptions(Forwarding::PlacementSettings& settings) -> boost::program_options::options_description;

/// All that is wrong with the settings in one error, or nothing.
auto checkPlacement(const Forwarding::PlacementSettings& settings) -> Core::Result<void>;

} // namespace App
