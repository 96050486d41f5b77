#include "ledger/booking.h"

namespace Ledger {

namespace {

    constexpr std::uint64_t fnvOffset = 0xcbf29ce484222325;
    constexpr std::uint64_t fnvPrime = 0x100000001b3;

    auto addTo(std::uint64_t hash, const std::string& text) -> std::uint64_t
    {
        for (const auto character : text)
            hash = (hash ^ static_cast<unsigned char>(character)) * fnvPrime;
        // Separates the fields, so that moving a character from one field to the next changes the hash.
        return hash * fnvPrime;
    }

} // namespace

auto fingerprintOf(const Core::ServiceRequest& request) -> Fingerprint
{
    return Fingerprint(addTo(addTo(addTo(fnvOffset, request.service.value()), request.operation), request.body));
}

auto withoutBackup(Core::KeyPrefix prefix) -> Core::KeyPrefix
{
    prefix.backup = {};
    prefix.backupIncarnation = {};
    return prefix;
}

auto toString(IntentOutcome outcome) -> std::string
{
    switch (outcome) {
    case IntentOutcome::Acknowledged:
        return "acknowledged";
    case IntentOutcome::Sealed:
        return "sealed";
    case IntentOutcome::Full:
        return "full";
    case IntentOutcome::NotBackup:
        return "not-backup";
    case IntentOutcome::Unreachable:
        break;
    }
    return "unreachable";
}

auto toString(ResolutionKind kind) -> std::string
{
    switch (kind) {
    case ResolutionKind::Answered:
        return "answered";
    case ResolutionKind::NotRun:
        return "not-run";
    case ResolutionKind::Started:
        return "started";
    case ResolutionKind::Undecided:
        return "undecided";
    case ResolutionKind::OtherRequest:
        return "other-request";
    case ResolutionKind::NotHeld:
        break;
    }
    return "not-held";
}

} // namespace Ledger
