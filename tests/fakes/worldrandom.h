#pragma once

#include "fakes/virtualworld.h"
#include "ports/randomsource.h"

#include <limits>

namespace Fakes {

/// Random numbers of the world, so that its seed repeats them.
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
