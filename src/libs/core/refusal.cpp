#include "core/refusal.h"

namespace Core {

auto toString(RunOutcome outcome) -> std::string { return outcome == RunOutcome::NotRun ? "not-run" : "unknown"; }

auto toString(RefusalReason reason) -> std::string
{
    switch (reason) {
    case RefusalReason::InvalidRequest:
        return "invalid-request";
    case RefusalReason::UnknownService:
        return "unknown-service";
    case RefusalReason::RequestTooLarge:
        return "request-too-large";
    case RefusalReason::DeadlinePassed:
        return "deadline-passed";
    case RefusalReason::DeadlineUnreachable:
        return "deadline-unreachable";
    case RefusalReason::Overloaded:
        return "overloaded";
    case RefusalReason::NoUpstream:
        return "no-upstream";
    case RefusalReason::KeyRequired:
        return "key-required";
    case RefusalReason::KeyInvalid:
        return "key-invalid";
    case RefusalReason::EpochClosed:
        return "epoch-closed";
    case RefusalReason::LedgerFull:
        return "ledger-full";
    case RefusalReason::BackupUnavailable:
        return "backup-unavailable";
    case RefusalReason::HomeUnreachable:
        return "home-unreachable";
    case RefusalReason::RequestQuarantined:
        return "request-quarantined";
    case RefusalReason::UpstreamFailed:
        return "upstream-failed";
    case RefusalReason::UpstreamTimeout:
        return "upstream-timeout";
    case RefusalReason::UpstreamAnswerInvalid:
        return "upstream-answer-invalid";
    case RefusalReason::ShuttingDown:
        return "shutting-down";
    case RefusalReason::NotConfigured:
        return "not-configured";
    case RefusalReason::InternalError:
        return "internal-error";
    case RefusalReason::CallerDisconnected:
        return "caller-disconnected";
    case RefusalReason::UnknownApiKey:
        return "unknown-api-key";
    case RefusalReason::QuotaExceeded:
        return "quota-exceeded";
    }
    return "invalid-request";
}

} // namespace Core
