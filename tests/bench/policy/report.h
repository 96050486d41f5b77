#pragma once

#include "scenario.h"

#include <ostream>

namespace PolicyBench {

auto printHeading(std::ostream& stream) -> void;
/// Prints one line for each group of requests.
auto print(std::ostream& stream, const RunResult& result) -> void;
/// Returns the results as a JSON document.
auto toJson(const std::vector<RunResult>& results) -> std::string;

} // namespace PolicyBench
