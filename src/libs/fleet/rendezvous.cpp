#include "fleet/rendezvous.h"

#include <algorithm>

namespace Fleet {

namespace {

    // FNV-1a followed by the finalizer of SplitMix64, which spreads the hashes of similar names over all bits.
    constexpr std::uint64_t fnvOffset = 0xcbf29ce484222325U;
    constexpr std::uint64_t fnvPrime = 0x100000001b3U;

    auto append(std::uint64_t hash, std::string_view text) -> std::uint64_t
    {
        for (const char character : text)
            hash = (hash ^ static_cast<unsigned char>(character)) * fnvPrime;
        return hash;
    }

    auto finalize(std::uint64_t hash) -> std::uint64_t
    {
        hash = (hash ^ (hash >> 30U)) * 0xbf58476d1ce4e5b9U;
        hash = (hash ^ (hash >> 27U)) * 0x94d049bb133111ebU;
        return hash ^ (hash >> 31U);
    }

} // namespace

auto rendezvousScore(std::string_view key, std::string_view candidate) -> std::uint64_t
{
    return finalize(append(finalize(append(fnvOffset, key)), candidate));
}

auto rendezvousFraction(std::string_view key) -> double
{
    constexpr unsigned usedBits = 53;
    constexpr auto range = static_cast<double>(std::uint64_t { 1 } << usedBits);
    return static_cast<double>(finalize(append(fnvOffset, key)) >> (64U - usedBits)) / range;
}

auto rendezvousPosition(std::string_view key, std::string_view candidate, const std::vector<std::string>& all)
    -> std::size_t
{
    const auto own = rendezvousScore(key, candidate);
    return static_cast<std::size_t>(std::count_if(all.begin(), all.end(),
        [&](const std::string& other) { return other != candidate && rendezvousScore(key, other) >= own; }));
}

} // namespace Fleet
