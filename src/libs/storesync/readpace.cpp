#include "storesync/readpace.h"

#include <algorithm>

namespace StoreSync {

namespace {

    constexpr Core::Millis firstDelay { 100 };
    /// Number of times that the delay doubles.
    constexpr std::uint32_t mostDoublings = 4;
    /// A watch that waited for this long was accepted by the store.
    constexpr Core::Millis usefulWatchTime { 1000 };
    constexpr std::uint64_t jitterSteps = 512;

} // namespace

auto ReadPace::recordWatchEnded(Core::Instant now) -> void
{
    if (now - m_watchBegunAt >= usefulWatchTime)
        recordProgress();
}

auto ReadPace::delayAfterFailure(Core::Duration longest, Ports::RandomSource& random) -> Core::Duration
{
    const auto result = delay(longest, random);
    ++m_readsWithoutProgress;
    return result;
}

auto ReadPace::delayAfterUselessAnswer(Core::Duration longest, Ports::RandomSource& random) -> Core::Duration
{
    if (m_readsWithoutProgress == 0) {
        ++m_readsWithoutProgress;
        return {};
    }
    return delayAfterFailure(longest, random);
}

auto ReadPace::delay(Core::Duration longest, Ports::RandomSource& random) const -> Core::Duration
{
    const auto whole
        = std::min<Core::Duration>(longest, firstDelay * (1U << std::min(m_readsWithoutProgress, mostDoublings)));
    // Jitter spreads the reads of entry VMs that lost access to the store at the same time.
    const auto jitter = static_cast<Core::Duration::rep>(random.next() % jitterSteps) * whole
        / static_cast<Core::Duration::rep>(2 * jitterSteps);
    return whole / 2 + jitter;
}

} // namespace StoreSync
