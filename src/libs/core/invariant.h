#pragma once

#include <string_view>

namespace Core {

/// Called with the invariant's name when it does not hold.
using InvariantHandler = void (*)(std::string_view name);

/// Replaces what a broken invariant does; the default prints the name and aborts. Returns the previous handler.
auto setInvariantHandler(InvariantHandler handler) -> InvariantHandler;

/// Asserts in every build that a condition which safety rests on holds. docs/PROOFS.md lists the names.
auto invariant(bool holds, std::string_view name) -> void;

} // namespace Core
