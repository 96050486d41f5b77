#pragma once

#include "ledger/bookingcoordinator.h"

namespace Ledger {

/// Owns and connects the ledger components of one entry VM.
class BookingSystem {
public:
    struct Dependencies {
        const Ports::Clock& clock;
        Ports::Scheduler& scheduler;
        const Membership::MembershipView& members;
        Ports::EventSink& events;
        Dispatch::Dispatcher& dispatcher;
        BackupPort& backupPort;
        HomeRelayPort& relayPort;
        const Fleet::FleetSource& fleet;
    };

    BookingSystem(const Dependencies& dependencies, const HomeIdentity& identity, const LedgerLimits& limits);

    /// Opens the first epoch. Key prefixes are available from then on.
    auto start() -> void;
    /// Closes all epochs as the first step of a planned stop. Bookings in flight continue.
    auto close() -> void;
    /// Waits until no booking is in flight and sends the outcomes to the backups, as the last step of a planned stop.
    auto handOver(std::function<void()> callback) -> void;

    auto coordinator() -> BookingCoordinator& { return m_coordinator; }
    auto backup() -> BackupLedger& { return m_backup; }
    [[nodiscard]] auto prefixes() const -> const KeyPrefixSource& { return m_epochs; }
    auto records() -> HomeRecords& { return m_records; }

private:
    auto scheduleExpiry() -> void;

    Ports::Scheduler& m_scheduler;
    const LedgerLimits m_limits;
    HomeRecords m_records;
    EpochManager m_epochs;
    HomeLedger m_home;
    BackupLedger m_backup;
    BookingCoordinator m_coordinator;
    std::unique_ptr<Ports::Timer> m_expiryTimer;
    std::unique_ptr<Ports::Timer> m_drainTimer;
};

} // namespace Ledger
