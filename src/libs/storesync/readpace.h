#pragma once

#include "core/units.h"
#include "ports/randomsource.h"

#include <cstdint>

namespace StoreSync {

/// Spaces out the reads of a collection. The delays grow with each read in a row that led nowhere, because it failed or
/// because its answer could not be built on, and are short again once a watch has shown that reading goes on.
class ReadPace {
public:
    /// Delay before the next attempt after a read that failed. The first ones follow soon.
    [[nodiscard]] auto delayAfterFailure(Core::Duration longest, Ports::RandomSource& random) -> Core::Duration;
    /// Delay before the list that replaces the changes that a watch could not report. None the first time, so that
    /// changes are not known late when the store has dropped its history.
    [[nodiscard]] auto delayAfterUselessAnswer(Core::Duration longest, Ports::RandomSource& random) -> Core::Duration;
    auto recordWatchBegun(Core::Instant now) -> void { m_watchBegunAt = now; }
    /// To be called before a delay is asked for: a watch that waited for long was of use until it failed.
    auto recordWatchEnded(Core::Instant now) -> void;
    auto recordProgress() -> void { m_readsWithoutProgress = 0; }

private:
    [[nodiscard]] auto delay(Core::Duration longest, Ports::RandomSource& random) const -> Core::Duration;

    std::uint32_t m_readsWithoutProgress = 0;
    Core::Instant m_watchBegunAt;
};

} // namespace StoreSync
