#include "ledger/bookingsystem.h"

namespace Ledger {

namespace {

    constexpr Core::Duration drainCheckInterval = Core::Millis(20);

} // namespace

BookingSystem::BookingSystem(const Dependencies& dependencies, const HomeIdentity& identity, const LedgerLimits& limits)
    : m_scheduler(dependencies.scheduler)
    , m_limits(limits)
    , m_records(limits)
    , m_epochs({ dependencies.clock, dependencies.scheduler, dependencies.members, dependencies.events, m_records,
                   dependencies.fleet, dependencies.backupPort },
          identity, limits)
    , m_home({ dependencies.clock, dependencies.dispatcher, dependencies.backupPort, dependencies.events, m_records,
                 m_epochs },
          limits)
    , m_backup({ dependencies.clock, dependencies.members, dependencies.events }, identity.incarnation, limits)
    , m_coordinator({ dependencies.clock, dependencies.members, dependencies.events, m_home, m_backup, m_epochs,
                        dependencies.backupPort, dependencies.relayPort },
          identity, limits)
{
}

auto BookingSystem::start() -> void
{
    m_epochs.start();
    scheduleExpiry();
}

auto BookingSystem::scheduleExpiry() -> void
{
    // The timer needs no lock, since only this chain of consecutive tasks accesses it.
    m_expiryTimer = m_scheduler.after(m_limits.retention / 8, [this] {
        m_backup.dropExpired();
        scheduleExpiry();
    });
}

auto BookingSystem::close() -> void { m_epochs.stop(); }

auto BookingSystem::handOver(std::function<void()> callback) -> void
{
    if (m_records.inFlight() == 0) {
        m_home.handOver(std::move(callback));
        return;
    }
    m_drainTimer = m_scheduler.after(
        drainCheckInterval, [this, callback = std::move(callback)]() mutable { handOver(std::move(callback)); });
}

} // namespace Ledger
