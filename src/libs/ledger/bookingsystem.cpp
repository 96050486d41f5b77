#include "ledger/bookingsystem.h"

namespace Ledger {

namespace {

    constexpr Core::Duration drainCheckInterval = Core::Millis(20);

} // namespace

BookingSystem::BookingSystem(
    const Collaborators& collaborators, const HomeIdentity& identity, const LedgerLimits& limits)
    : m_scheduler(collaborators.scheduler)
    , m_limits(limits)
    , m_records(limits)
    , m_epochs({ collaborators.clock, collaborators.scheduler, collaborators.members, collaborators.events, m_records,
                   collaborators.fleet, collaborators.backupPort },
          identity, limits)
    , m_home({ collaborators.clock, collaborators.dispatcher, collaborators.backupPort, collaborators.events, m_records,
                 m_epochs },
          limits)
    , m_backup({ collaborators.clock, collaborators.members, collaborators.events }, identity.incarnation, limits)
    , m_coordinator({ collaborators.clock, collaborators.members, collaborators.events, m_home, m_backup, m_epochs,
                        collaborators.backupPort, collaborators.relayPort },
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
    // Only this chain of tasks touches the timer, one task after another.
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
