#pragma once

#include "dispatch/dispatcher.h"
#include "ledger/epochmanager.h"
#include "ledger/homerecords.h"
#include "ledger/peerports.h"

namespace Ledger {

/// Runs the bookings whose home is this incarnation: announces, starts, records the outcome and passes it to the
/// backup.
class HomeLedger {
public:
    struct Collaborators {
        const Ports::Clock& clock;
        Dispatch::Dispatcher& dispatcher;
        BackupPort& backup;
        Ports::EventSink& events;
        HomeRecords& records;
        EpochManager& epochs;
    };

    HomeLedger(Collaborators collaborators, const LedgerLimits& limits);

    /// Takes a booking whose key names this incarnation as its home. Calls back exactly once.
    auto execute(Core::ServiceRequest request, const Configuration::ServicePolicy& policy, Core::ReplyCallback callback)
        -> void;
    /// Passes the outcomes that the backups have not confirmed to them, and calls back when all were passed or the
    /// attempts are used up.
    auto handOver(std::function<void()> callback) -> void;

private:
    struct Booking {
        Core::ServiceRequest request;
        Configuration::ServicePolicy policy;
    };
    using BookingPointer = std::shared_ptr<const Booking>;

    auto begin(const BookingPointer& booking) -> void;
    auto check(const Booking& booking) const -> std::optional<Core::Refusal>;
    auto refuse(const Waiter& waiter, Admission admission, bool needsBackup) -> void;
    auto announce(const BookingPointer& booking, std::size_t attempt) -> void;
    auto handleIntentOutcome(const BookingPointer& booking, std::size_t attempt, IntentOutcome outcome) -> void;
    auto start(const BookingPointer& booking, bool acknowledged) -> void;
    auto finish(const BookingPointer& booking, Core::Reply reply) -> void;
    auto deliver(const Waiter& waiter, Core::Reply reply, bool needsBackup) -> void;
    auto keep(Outcome outcome, std::size_t attempt, std::function<void()> done) -> void;
    auto record(const Ports::EventKind& kind, const Core::ServiceRequest& request, std::string detail) -> void;

    Collaborators m_collaborators;
    const LedgerLimits m_limits;
};

/// Refusal for a booking that is not known to have been left unrun.
auto unknownOutcome(Core::RefusalReason reason, std::string message) -> Core::Refusal;
/// Refusal for a booking that never runs under its key, with the prefix for a fresh key.
auto notRunWithFreshKey(Core::RefusalReason reason, std::string message, std::string keyPrefix) -> Core::Refusal;

} // namespace Ledger
