#pragma once

#include "ports/scheduler.h"

#include <cstddef>
#include <future>

namespace TestSupport {

/// Blocks the given number of threads of a runtime, as if the process had no processor time, until the returned promise
/// is set.
auto holdThreads(Ports::Scheduler& runtime, std::size_t threadCount) -> std::promise<void>;

} // namespace TestSupport
