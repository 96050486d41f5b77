#pragma once

#include "core/units.h"

#include <cstddef>

namespace Ledger {

/// Bounds of the memory that bookings take in one process, and of the time for which they are kept.
struct LedgerLimits {
    /// Records of one ledger: those of the own epochs, or those held for other homes.
    std::size_t maximumRecords = 20'000;
    /// Records and answers together.
    Core::Bytes maximumBytes { 12 * 1024 * 1024 };
    /// Room that a record takes before its answer is known.
    Core::Bytes answerReserve { 512 };
    std::size_t maximumEpochs = 512;
    /// Homes, counted by incarnation, that a backup keeps epochs for.
    std::size_t maximumHomes = 4096;
    /// Time after which the next epoch is opened.
    Core::Duration epochLifetime = std::chrono::minutes(2);
    /// Time for which an epoch that has been followed by another still takes keys; above a look-up answer's lifetime.
    Core::Duration epochGrace = std::chrono::seconds(20);
    /// Time for which a closed epoch's records are kept.
    Core::Duration retention = std::chrono::minutes(10);
    /// Time between two checks of the backup and of the epochs' age.
    Core::Duration refreshInterval = std::chrono::milliseconds(500);
    Core::Duration intentTimeout = std::chrono::milliseconds(250);
    Core::Duration keepTimeout = std::chrono::milliseconds(500);
    Core::Duration resolveTimeout = std::chrono::milliseconds(500);
    std::size_t intentAttempts = 2;
    std::size_t keepAttempts = 3;
};

} // namespace Ledger
