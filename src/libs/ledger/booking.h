#pragma once

#include "core/request.h"
#include "core/requestkey.h"
#include "core/strongtype.h"

#include <cstdint>
#include <optional>

namespace Ledger {

/// Hash of a request's content; distinguishes a retry from a different request with the same key.
using Fingerprint = Core::StrongType<struct FingerprintTag, std::uint64_t>;

/// Returns the 64-bit FNV-1a hash of service, operation and body.
auto fingerprintOf(const Core::ServiceRequest& request) -> Fingerprint;

/// Returns the prefix for services that run without a backup: same home and epoch, with an empty backup.
auto withoutBackup(Core::KeyPrefix prefix) -> Core::KeyPrefix;

/// Returns the bytes of an answer's strings, as counted by LedgerBudget.
inline auto sizeOf(const Core::Answer& answer) -> std::size_t
{
    return answer.id.value().size() + answer.upstream.value().size() + answer.contentType.size() + answer.body.size();
}

inline auto hasBackup(const Core::KeyPrefix& prefix) -> bool { return !prefix.backup.value().empty(); }

/// Message by which a home announces to its backup that it is about to start a request.
struct Intent {
    Core::RequestKey key;
    Core::RequestId request;
    Fingerprint fingerprint;
};

enum class IntentOutcome : std::uint8_t {
    /// The backup has stored the intent and never resolves the key to NotRun unless the home reports that outcome.
    Acknowledged,
    /// The backup has sealed the epoch and acknowledges no further intents for it.
    Sealed,
    /// The backup has no capacity left, or has dropped the epoch.
    Full,
    /// The key names another incarnation of the backup.
    NotBackup,
    /// No reply was received; the backup may have stored the intent.
    Unreachable,
};

auto toString(IntentOutcome outcome) -> std::string;

/// Final outcome of a booking, sent by the home to its backup.
struct Outcome {
    Core::RequestKey key;
    Core::RequestId request;
    /// Empty if the request was refused and never runs.
    std::optional<Core::Answer> answer;
};

/// Query to a backup for the outcome of a key whose home is unreachable.
struct Query {
    Core::RequestKey key;
    Core::RequestId request;
    Fingerprint fingerprint;
};

enum class ResolutionKind : std::uint8_t {
    Answered,
    /// The booking was never started and never will be.
    NotRun,
    /// The home may have started the booking.
    Started,
    /// The backup does not suspect the home and has no outcome for the key.
    Undecided,
    /// The backup has no records of this epoch, or has restarted.
    NotHeld,
    /// The key was used for a request with different content.
    OtherRequest,
};

auto toString(ResolutionKind kind) -> std::string;

struct Resolution {
    ResolutionKind kind = ResolutionKind::NotHeld;
    /// Set if kind is Answered.
    std::optional<Core::Answer> answer;
};

} // namespace Ledger
