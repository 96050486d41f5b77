#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Fleet {

/// Returns the score of a candidate for a key, identical in every process. Implements highest random weight hashing
/// (Thaler and Ravishankar).
auto rendezvousScore(std::string_view key, std::string_view candidate) -> std::uint64_t;

/// Returns a number in [0, 1) that depends only on the key, identical in every process.
auto rendezvousFraction(std::string_view key) -> double;

/// Returns the zero-based position of the candidate among all, sorted by descending score for the key. The candidate
/// itself need not be in the list.
auto rendezvousPosition(std::string_view key, std::string_view candidate, const std::vector<std::string>& all)
    -> std::size_t;

} // namespace Fleet
