#pragma once

#include "ledger/bookingcoordinator.h"

namespace Ledger {

/// Owns and connects the parts of the ledger of one entry VM.
class BookingSystem {
public:
    struct Collaborators {
        const Ports::Clock& clock;
        Ports::Scheduler& scheduler;
        const Membership::MembershipView& members;
        Ports::EventSink& events;
        Dispatch::Dispatcher& dispatcher;
        BackupPort& backupPort;
        HomeRelayPort& relayPort;
        const Fleet::FleetSource& fleet;
    };

    BookingSystem(const Collaborators& collaborators, const HomeIdentity& identity, const LedgerLimits& limits);

    /// Opens the first epoch; keys are given out from here on.
    auto start() -> void;
    /// First step of a planned stop: closes all epochs. Bookings that run go on.
    auto close() -> void;
    /// Last step of a planned stop: waits until no booking runs any more, and passes the outcomes to the backups.
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
