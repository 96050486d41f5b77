#pragma once

#include "core/error.h"
#include "forwarding/placementsettings.h"

#include <boost/program_options/options_description.hpp>

namespace App {

/// Returns options that set the weights for choosing an upstream. The settings must outlive the options.
auto placementOptions(Forwarding::PlacementSettings& settings) -> boost::program_options::options_description;

/// Validates the settings. On failure, one error lists all problems.
auto checkPlacement(const Forwarding::PlacementSettings& settings) -> Core::Result<void>;

} // namespace App
