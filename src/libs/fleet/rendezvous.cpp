#include "fleet/rendezvous.h"

#include "core/hashing.h"

#include <algorithm>

namespace Fleet {

namespace {

    // FNV-1a, whose hashes of similar names are similar.
    constexpr std::uint64_t fnvOffset = 0xcbf29ce484222325U;
    constexpr std::uint64_t fnvPrime = 0x100000001b3U;

    auto append(std::uint64_t hash, std::string_view text) -> std::uint64_t
    {
        for (const char character : text)
            hash = (hash ^ static_cast<unsigned char>(character)) * fnvPrime;
        return hash;
    }

} // namespace

auto rendezvousScore(std::string_view key, std::string_view candidate) -> std::uint64_t
{
    return Core::scramble(append(Core::scramble(append(fnvOffset, key)), candidate));
}

auto rendezvousFraction(std::string_view key) -> double
{
    constexpr unsigned usedBits = 53;
    constexpr auto range = static_cast<double>(std::uint64_t { 1 } << usedBits);
    return static_cast<double>(Core::scramble(append(fnvOffset, key)) >> (64U - usedBits)) / range;
}

auto rendezvousPosition(std::string_view key, std::string_view candidate, const std::vector<std::string>& all)
    -> std::size_t
{
    const auto own = rendezvousScore(key, candidate);
    return static_cast<std::size_t>(std::count_if(all.begin(), all.end(),
        [&](const std::string& other) { return other != candidate && rendezvousScore(key, other) >= own; }));
}

} // namespace Fleet
