#pragma once

#include <cstdint>

namespace Ports {

/// Source of uniformly distributed random words; safe to call from several threads.
class RandomSource {
public:
    virtual ~RandomSource() = default;
    virtual auto next() -> std::uint64_t = 0;
};

} // namespace Ports
