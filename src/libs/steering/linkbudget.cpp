#include "steering/linkbudget.h"

#include <algorithm>
#include <numeric>

namespace Steering {

namespace {

    constexpr Core::Millis windowLength { 100 };
    constexpr double bitsPerByte = 8;
    constexpr double bitsPerMbit = 1e6;

    auto bitsPerWindow(Core::Mbit limit) -> double
    {
        return limit.value() * bitsPerMbit * std::chrono::duration<double>(windowLength).count();
    }

    auto bitsOf(Core::Bytes size) -> double { return static_cast<double>(size.value()) * bitsPerByte; }

} // namespace

auto LinkBudget::tryTake(
    const Direction& direction, Core::Rank rank, Core::Bytes size, Core::Instant now, const Limits& limits) -> bool
{
    const std::lock_guard lock(m_mutex);
    auto& window = currentWindow(direction, now, limits);
    if (freeBits(window, rank, limits) < bitsOf(size))
        return false;
    window.usedBits.at(Core::rankIndex(rank)) += bitsOf(size);
    return true;
}

auto LinkBudget::charge(
    const Direction& direction, Core::Rank rank, Core::Bytes size, Core::Instant now, const Limits& limits) -> void
{
    const std::lock_guard lock(m_mutex);
    currentWindow(direction, now, limits).usedBits.at(Core::rankIndex(rank)) += bitsOf(size);
}

auto LinkBudget::hasCapacity(const Direction& direction, Core::Rank rank, Core::Instant now, const Limits& limits)
    -> bool
{
    const std::lock_guard lock(m_mutex);
    return freeBits(currentWindow(direction, now, limits), rank, limits) > 0;
}

auto LinkBudget::currentWindow(const Direction& direction, Core::Instant now, const Limits& limits) -> Window&
{
    auto& window = m_windows[direction];
    if (now >= window.end) {
        const auto isConsecutive = now < window.end + windowLength;
        const auto windows = static_cast<double>((now - window.end) / Core::Duration(windowLength) + 1);
        const auto used = std::accumulate(window.usedBits.begin(), window.usedBits.end(), 0.0);
        window.debtBits = std::max(0.0, window.debtBits + used - windows * bitsPerWindow(limits.limit));
        window.previousBits = isConsecutive ? window.usedBits : decltype(window.usedBits) {};
        window.usedBits = {};
        window.end = now + windowLength;
    }
    return window;
}

auto LinkBudget::freeBits(const Window& window, Core::Rank rank, const Limits& limits) -> double
{
    const auto total = bitsPerWindow(limits.limit) - window.debtBits;
    if (total <= 0)
        return 0;
    auto unavailable = 0.0;
    for (const auto other : Core::allRanks) {
        const auto index = Core::rankIndex(other);
        const auto used = window.usedBits.at(index);
        auto reserved = other == rank ? 0.0 : limits.floors.at(index) * total;
        // Reserves at least the previous usage of each more urgent rank, but only the floor of each less urgent one.
        if (other < rank)
            reserved = std::max(reserved, window.previousBits.at(index));
        unavailable += std::max(used, reserved);
    }
    const auto own = limits.floors.at(Core::rankIndex(rank)) * total - window.usedBits.at(Core::rankIndex(rank));
    const auto usedByAll = std::accumulate(window.usedBits.begin(), window.usedBits.end(), 0.0);
    return std::min(total - usedByAll, std::max(own, total - unavailable));
}

} // namespace Steering
