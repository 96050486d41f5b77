#pragma once

#include <cstdint>

namespace Core {

/// Spreads the hashes of similar values over all bits: the finalizer of SplitMix64,
/// https://doi.org/10.1145/2660193.2660195
constexpr auto scramble(std::uint64_t hash) -> std::uint64_t
{
    hash = (hash ^ (hash >> 30U)) * 0xbf58476d1ce4e5b9U;
    hash = (hash ^ (hash >> 27U)) * 0x94d049bb133111ebU;
    return hash ^ (hash >> 31U);
}

} // namespace Core
