#pragma once

#include <cstdint>
#include <string>

namespace Core {

/// What a refusal says about the request's execution.
enum class RunOutcome : std::uint8_t {
    /// Provably never started, and never will be under this idempotency key.
    NotRun,
    /// May have run, may be running, or may never run.
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
};

auto toString(RunOutcome outcome) -> std::string;
auto toString(RefusalReason reason) -> std::string;

/// Answer of the system in place of an upstream's answer.
struct Refusal {
    RunOutcome outcome = RunOutcome::NotRun;
    RefusalReason reason = RefusalReason::InvalidRequest;
    std::string message;
    std::string remedy;
    /// Prefix for a fresh idempotency key; empty when none is offered.
    std::string keyPrefix;
};

} // namespace Core
