#include "core/invariant.h"

#include <atomic>
#include <cstdio>
#include <cstdlib>

namespace Core {

namespace {

    auto abortOnViolatedInvariant(std::string_view name) -> void
    {
        std::fprintf(stderr, "invariant broken: %.*s\n", static_cast<int>(name.size()), name.data());
        std::abort();
    }

    std::atomic<InvariantHandler> currentHandler { abortOnViolatedInvariant };

} // namespace

auto setInvariantHandler(InvariantHandler handler) -> InvariantHandler { return currentHandler.exchange(handler); }

auto invariant(bool holds, std::string_view name) -> void
{
    if (!holds)
        currentHandler.load()(name);
}

} // namespace Core
