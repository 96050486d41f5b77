#pragma once

#include "core/refusal.h"
#include "core/sharded.h"
#include "ledger/booking.h"
#include "ledger/ledgerbudget.h"

#include <map>
#include <unordered_map>
#include <vector>

namespace Ledger {

/// Request that waits for the outcome of its key.
struct Waiter {
    Core::RequestId request;
    Core::ReplyCallback callback;
};

/// Result of admitting a booking at its home.
enum class Admission : std::uint8_t {
    /// First request of a key without a backup: start it.
    Start,
    /// First request of a key with a backup: announce the intent and wait for the acknowledgement.
    AnnounceFirst,
    /// The key is in flight; the request gets the same outcome.
    Attached,
    /// The outcome of the key is final.
    Completed,
    /// The epoch accepts no new keys.
    EpochClosed,
    /// The budget is exhausted. The epoch is closed in this shard; the caller must close it in all others.
    Full,
    /// The service needs a backup and the key names none; recorded as NotRun.
    BackupMissing,
    /// The epoch was never opened, or its records were dropped.
    EpochUnknown,
    /// Home and epoch match, but the prefix was never issued.
    PrefixUnknown,
    /// The key was used for a request with different content.
    OtherRequest,
};

struct AdmissionResult {
    Admission admission = Admission::EpochUnknown;
    /// Set if admission is Completed or BackupMissing.
    Core::Reply reply {};
};

/// Records of the keys whose home is this incarnation, sharded by key. All state transitions of a key, including the
/// closing of its epoch, happen under the lock of its shard.
class HomeRecords {
public:
    explicit HomeRecords(const LedgerLimits& limits);

    auto open(const Core::KeyPrefix& prefix) -> void;
    /// Closes the epoch: keys that are not recorded yet never start.
    auto close(Core::Epoch epoch) -> void;
    /// Drops the records of the epoch if it is closed and has no keys in flight. Returns true if it was dropped.
    auto drop(Core::Epoch epoch) -> bool;

    auto admit(const Core::ServiceRequest& request, bool needsBackup, Waiter& waiter) -> AdmissionResult;
    /// Marks the key as started unless it was started before or its outcome is final. Returns true if the caller must
    /// start it.
    auto markStarted(const Core::RequestKey& key, bool acknowledged) -> bool;
    /// Records the final outcome and returns the requests to answer; empty if the outcome was already final.
    auto finish(const Core::RequestKey& key, const Core::Reply& reply) -> std::vector<Waiter>;
    auto markConfirmed(const Core::RequestKey& key) -> void;

    [[nodiscard]] auto inFlight() -> std::size_t;
    /// Returns the final outcomes that the backup has not confirmed.
    [[nodiscard]] auto unconfirmed() -> std::vector<Outcome>;
    [[nodiscard]] auto budget() const -> const LedgerBudget& { return m_budget; }

private:
    enum class RecordState : std::uint8_t { Announced, Started, Answered, NotRun, Unknown };
    struct Record {
        RecordState state = RecordState::Announced;
        bool needsAcknowledgement = false;
        bool hasStarted = false;
        bool isConfirmed = false;
        Core::RequestId request;
        Fingerprint fingerprint;
        std::optional<Core::Reply> reply;
        std::vector<Waiter> waiters;
        std::size_t bytes = 0;
    };
    struct EpochRecords {
        Core::KeyPrefix prefix;
        bool isOpen = true;
        std::size_t inFlight = 0;
        std::unordered_map<std::string, Record> records;
    };
    struct State {
        std::map<Core::Epoch, EpochRecords> epochs;
    };

    auto admitNew(EpochRecords& epoch, const Core::ServiceRequest& request, bool needsBackup, Waiter& waiter)
        -> AdmissionResult;
    static auto admitKnown(Record& record, const Core::ServiceRequest& request, Waiter& waiter) -> AdmissionResult;
    static auto find(State& state, const Core::RequestKey& key) -> Record*;
    auto recordReply(Record& record, const Core::Reply& reply) -> void;

    const LedgerLimits m_limits;
    LedgerBudget m_budget;
    Core::Sharded<State> m_state;
};

} // namespace Ledger
