#pragma once

#include <cstdint>

namespace Ports {

/// Source of uniformly distributed random 64-bit numbers. Thread-safe.
class RandomSource {
public:
    virtual ~RandomSource() = default;
    virtual auto next() -> std::uint64_t = 0;
};

} // namespace Ports
