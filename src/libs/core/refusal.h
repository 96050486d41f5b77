#pragma once

#include <cstdint>
#include <string>

namespace Core {

/// Execution state of a refused request.
enum class RunOutcome : std::uint8_t {
    /// The request has provably not started, and never will under this idempotency key.
    NotRun,
    /// The request may have run, may be running, or may never run.
    Unknown,
};

enum class RefusalReason : std::uint8_t {
    InvalidRequest,
    UnknownService,
    RequestTooLarge,
    DeadlinePassed,
    DeadlineUnreachable,
    Overloaded,
    NoUpstream,
    KeyRequired,
    KeyInvalid,
    EpochClosed,
    LedgerFull,
    BackupUnavailable,
    HomeUnreachable,
    RequestQuarantined,
    UpstreamFailed,
    UpstreamTimeout,
    UpstreamAnswerInvalid,
    ShuttingDown,
    NotConfigured,
    InternalError,
    CallerDisconnected,
    /// The request carries no API key of an organisation, though its route requires one.
    UnknownApiKey,
    QuotaExceeded,
};

auto toString(RunOutcome outcome) -> std::string;
auto toString(RefusalReason reason) -> std::string;

/// Reply of the system itself in place of an upstream's answer.
struct Refusal {
    RunOutcome outcome = RunOutcome::NotRun;
    RefusalReason reason = RefusalReason::InvalidRequest;
    std::string message;
    std::string remedy;
    /// Prefix for a new idempotency key; empty if none is offered.
    std::string keyPrefix;
};

} // namespace Core
