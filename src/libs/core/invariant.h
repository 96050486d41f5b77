#pragma once

#include <string_view>

namespace Core {

/// Called with the name of a violated invariant.
using InvariantHandler = void (*)(std::string_view name);

/// Sets the handler of violated invariants; the default prints the name and aborts. Returns the previous handler.
auto setInvariantHandler(InvariantHandler handler) -> InvariantHandler;

/// Checks a condition that safety depends on, in every build. docs/PROOFS.md lists the names.
auto invariant(bool holds, std::string_view name) -> void;

} // namespace Core
