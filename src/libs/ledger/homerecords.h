#pragma once

#include "core/refusal.h"
#include "core/sharded.h"
#include "ledger/booking.h"
#include "ledger/ledgerbudget.h"

#include <map>
#include <unordered_map>
#include <vector>

namespace Ledger {

/// Copy of a booking that waits for the outcome of its key.
struct Waiter {
    Core::RequestId request;
    Core::ReplyCallback callback;
};

/// What a home does with a booking that has just arrived.
enum class Admission : std::uint8_t {
    /// First copy of a key without a backup: start it.
    Start,
    /// First copy of a key with a backup: announce it and wait for the acknowledgement.
    AnnounceFirst,
    /// The key is in flight; the copy gets the same outcome.
    Attached,
    /// The key has its final outcome.
    Decided,
    /// The epoch takes no new keys.
    EpochClosed,
    /// No room; the epoch is closed in this shard and must be closed in all.
    Full,
    /// The service needs a backup and the key names none; recorded as notRun.
    BackupMissing,
    /// The epoch's records were dropped, or it was never opened.
    EpochUnknown,
    /// Home and epoch are right, but this prefix was never given out.
    PrefixUnknown,
    /// The key belongs to a request with another content.
    OtherRequest,
};

struct AdmissionResult {
    Admission admission = Admission::EpochUnknown;
    /// Set when admission is Decided.
    Core::Reply reply {};
};

/// Records of the keys whose home is this incarnation, in shards by key. All transitions of one key happen under the
/// lock of its shard, and so does the closing of an epoch as far as that key is concerned.
class HomeRecords {
public:
    explicit HomeRecords(const LedgerLimits& limits);

    auto open(const Core::KeyPrefix& prefix) -> void;
    /// From here on, no key of the epoch that is not recorded yet ever starts.
    auto close(Core::Epoch epoch) -> void;
    /// Forgets a closed epoch without keys in flight. Returns whether it was dropped.
    auto drop(Core::Epoch epoch) -> bool;

    auto admit(const Core::ServiceRequest& request, bool needsBackup, Waiter& waiter) -> AdmissionResult;
    /// Marks the key as started unless its outcome is already final. Returns whether the caller must start it now.
    auto markStarted(const Core::RequestKey& key, bool acknowledged) -> bool;
    /// Records the final outcome. Returns the copies to answer; empty when the outcome was already final.
    auto finish(const Core::RequestKey& key, const Core::Reply& reply) -> std::vector<Waiter>;
    auto markKept(const Core::RequestKey& key) -> void;

    [[nodiscard]] auto inFlight() -> std::size_t;
    /// Final outcomes that the backup has not confirmed.
    [[nodiscard]] auto unconfirmed() -> std::vector<Outcome>;
    [[nodiscard]] auto budget() const -> const LedgerBudget& { return m_budget; }

private:
    enum class RecordState : std::uint8_t { Announced, Started, Answered, NotRun, Unknown };
    struct Record {
        RecordState state = RecordState::Announced;
        bool needsAcknowledgement = false;
        bool hasStarted = false;
        bool isKept = false;
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
