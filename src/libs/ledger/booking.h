#pragma once

#include "core/request.h"
#include "core/requestkey.h"
#include "core/strongtype.h"

#include <cstdint>
#include <optional>

namespace Ledger {

/// Hash of what a request asks for; tells a retry from another request under the same key.
using Fingerprint = Core::StrongType<struct FingerprintTag, std::uint64_t>;

/// 64-bit FNV-1a over service, operation and body.
auto fingerprintOf(const Core::ServiceRequest& request) -> Fingerprint;

/// Form of the prefix for services that run without a backup: the same home and epoch, and no backup named.
auto withoutBackup(Core::KeyPrefix prefix) -> Core::KeyPrefix;

/// Bytes of an answer's strings, as the ledgers' budgets count them.
inline auto sizeOf(const Core::Answer& answer) -> std::size_t
{
    return answer.id.value().size() + answer.upstream.value().size() + answer.contentType.size() + answer.body.size();
}

inline auto hasBackup(const Core::KeyPrefix& prefix) -> bool { return !prefix.backup.value().empty(); }

/// Announcement of a home to its backup that it wants to start a request.
struct Intent {
    Core::RequestKey key;
    Core::RequestId request;
    Fingerprint fingerprint;
};

enum class IntentOutcome : std::uint8_t {
    /// The backup holds the intent and will never call the key notRun.
    Acknowledged,
    /// The backup acknowledges nothing more for this epoch.
    Sealed,
    /// The backup has no room.
    Full,
    /// The peer is not the incarnation that the key names.
    NotBackup,
    /// No reply; the backup may hold the intent.
    Unreachable,
};

auto toString(IntentOutcome outcome) -> std::string;

/// Final outcome that a home passes to its backup.
struct Outcome {
    Core::RequestKey key;
    Core::RequestId request;
    /// Empty when the request was refused and will never run.
    std::optional<Core::Answer> answer;
};

/// Question to a backup what became of a key whose home cannot be asked.
struct Query {
    Core::RequestKey key;
    Core::RequestId request;
    Fingerprint fingerprint;
};

enum class ResolutionKind : std::uint8_t {
    Answered,
    /// Never started and never will be.
    NotRun,
    /// The home may have started it.
    Started,
    /// The backup does not suspect the home and has no answer.
    Undecided,
    /// The backup does not hold this epoch, or restarted.
    NotHeld,
    /// The key belongs to a request with another content.
    OtherRequest,
};

auto toString(ResolutionKind kind) -> std::string;

struct Resolution {
    ResolutionKind kind = ResolutionKind::NotHeld;
    /// Set when kind is Answered.
    std::optional<Core::Answer> answer;
};

} // namespace Ledger
