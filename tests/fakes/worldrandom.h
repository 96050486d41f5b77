#pragma once

#include "fakes/virtualworld.h"
#include "ports/randomsource.h"

#include <limits>

namespace Fakes {

/// Random source that draws from the generator of a VirtualWorld, so that its seed reproduces the numbers.
class WorldRandom : public Ports::RandomSource {
public:
    explicit WorldRandom(VirtualWorld& world)
        : m_world(world)
    {
    }
    auto next() -> std::uint64_t override { return m_world.below(std::numeric_limits<std::size_t>::max()); }

private:
    VirtualWorld& m_world;
};

} // namespace Fakes
