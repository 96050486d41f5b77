#pragma once

#include "dispatch/dispatcher.h"
#include "ledger/epochmanager.h"
#include "ledger/homerecords.h"
#include "ledger/peerports.h"

namespace Ledger {

/// Executes the bookings whose home is this incarnation: announces the intent to the backup, dispatches the request,
/// records the outcome and sends it to the backup.
class HomeLedger {
public:
    struct Dependencies {
        const Ports::Clock& clock;
        Dispatch::Dispatcher& dispatcher;
        BackupPort& backup;
        Ports::EventSink& events;
        HomeRecords& records;
        EpochManager& epochs;
    };

    HomeLedger(Dependencies dependencies, const LedgerLimits& limits);

    /// Executes a booking whose key names this incarnation as its home. Invokes the callback exactly once.
    auto execute(Core::ServiceRequest request, const Configuration::ServicePolicy& policy, Core::ReplyCallback callback)
        -> void;
    /// Sends all unconfirmed outcomes to their backups. Invokes the callback once each outcome is confirmed or its
    /// attempts are exhausted.
    auto handOver(std::function<void()> callback) -> void;

private:
    struct Booking {
        Core::ServiceRequest request;
        Configuration::ServicePolicy policy;
    };
    using BookingPointer = std::shared_ptr<const Booking>;

    auto begin(const BookingPointer& booking) -> void;
    auto validate(const Booking& booking) const -> std::optional<Core::Refusal>;
    auto refuse(const Waiter& waiter, Admission admission, bool needsBackup) -> void;
    auto announce(const BookingPointer& booking, std::size_t attempt) -> void;
    auto handleIntentOutcome(const BookingPointer& booking, std::size_t attempt, IntentOutcome outcome) -> void;
    auto start(const BookingPointer& booking, bool acknowledged) -> void;
    auto finish(const BookingPointer& booking, Core::Reply reply) -> void;
    auto deliver(const Waiter& waiter, Core::Reply reply, bool needsBackup) -> void;
    auto storeOutcome(Outcome outcome, std::size_t attempt, std::function<void()> done) -> void;
    auto record(const Ports::EventKind& kind, const Core::ServiceRequest& request, std::string detail) -> void;

    Dependencies m_dependencies;
    const LedgerLimits m_limits;
};

/// Returns a refusal for a booking that may have run.
auto unknownOutcome(Core::RefusalReason reason, std::string message) -> Core::Refusal;
/// Returns a refusal for a booking that never runs under its key, with the prefix for a fresh key.
auto notRunWithFreshKey(Core::RefusalReason reason, std::string message, std::string keyPrefix) -> Core::Refusal;

} // namespace Ledger
