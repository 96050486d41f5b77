#pragma once

#include "core/units.h"

#include <cstddef>

namespace Ledger {

/// Limits on the memory used by the bookings of one process and on their retention, with the ledger's timeouts.
struct LedgerLimits {
    /// Applies separately to the home's records and to the records stored as a backup of other homes.
    std::size_t maximumRecords = 20'000;
    /// Total size of records and answers.
    Core::Bytes maximumBytes { 12 * 1024 * 1024 };
    /// Size reserved in a record for an answer that is not yet known.
    Core::Bytes answerReserve { 512 };
    std::size_t maximumEpochs = 512;
    /// Number of home incarnations for which a backup stores epochs.
    std::size_t maximumHomes = 4096;
    /// Age of an epoch at which the next one is opened.
    Core::Duration epochLifetime = std::chrono::minutes(2);
    /// Time for which a replaced epoch still accepts new keys; must exceed the lifetime of a look-up answer.
    Core::Duration epochGrace = std::chrono::seconds(20);
    /// Time for which the records of a closed epoch are retained.
    Core::Duration retention = std::chrono::minutes(10);
    /// Interval between checks of the backup's health and of the epochs' ages.
    Core::Duration refreshInterval = std::chrono::milliseconds(500);
    Core::Duration intentTimeout = std::chrono::milliseconds(250);
    Core::Duration storeTimeout = std::chrono::milliseconds(500);
    Core::Duration resolveTimeout = std::chrono::milliseconds(500);
    std::size_t intentAttempts = 2;
    std::size_t storeAttempts = 3;
};

} // namespace Ledger
