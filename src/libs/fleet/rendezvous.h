#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Fleet {

/// Score of a candidate for a key; equal in every process. Source: Thaler and Ravishankar, highest random weight.
auto rendezvousScore(std::string_view key, std::string_view candidate) -> std::uint64_t;

/// Number from 0 to below 1 that depends on the key alone; equal in every process.
auto rendezvousFraction(std::string_view key) -> double;

/// Position of the candidate when all are sorted by descending score for the key, 0 for the first. The candidate itself
/// need not be in the list.
auto rendezvousPosition(std::string_view key, std::string_view candidate, const std::vector<std::string>& all)
    -> std::size_t;

} // namespace Fleet
