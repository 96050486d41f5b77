#pragma once

#include "core/error.h"

#include <ostream>
#include <vector>

namespace App {

/// Prints one line for each problem of the settings, with its remedy.
auto printProblems(std::ostream& stream, const std::vector<Core::Error>& problems) -> void;

} // namespace App
