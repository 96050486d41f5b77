#pragma once

#include "core/units.h"
#include "dispatch/quarantinedigest.h"
#include "dispatch/requestfingerprint.h"

#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <vector>

namespace Dispatch {

/// Lists the upstreams whose connection was lost while they ran a request with this fingerprint.
struct CrashReport {
    RequestFingerprint fingerprint;
    std::set<Core::UpstreamId> upstreams;
    /// Time since the last of the crashes.
    Core::Duration age {};
    /// Time since the first of them.
    Core::Duration firstAge {};
};

/// What an entry VM refuses at one moment.
struct QuarantineSummary {
    QuarantineDigest digest;
    std::size_t requests = 0;
};

/// Gives access to the crash reports that entry VMs exchange, so that the whole fleet refuses a request that crashes
/// upstreams.
class CrashReportExchange {
public:
    virtual ~CrashReportExchange() = default;
    [[nodiscard]] virtual auto summary(Core::Instant now) const -> QuarantineSummary = 0;
    /// Returns the quarantined requests that follow the given one in the order of their fingerprints, `limit` at most.
    [[nodiscard]] virtual auto quarantined(const std::optional<RequestFingerprint>& after, std::size_t limit,
        Core::Instant now) const -> std::vector<CrashReport> = 0;
    /// Adds crash reports of another entry VM, whose ages count back from the given instant. Returns true if any of
    /// them was new.
    virtual auto merge(const std::vector<CrashReport>& crashReports, Core::Instant now) -> bool = 0;
};

/// Refuses requests that crashed upstreams. Drops the crash reports of a request that is answered before it reaches
/// the crash limit, and takes over no quarantine that rests on a crash before that answer: sound requests are at work
/// at upstreams that crash for other reasons, and not every VM sees their answers.
class RequestQuarantine : public CrashReportExchange {
public:
    /// Number of distinct upstreams that a request must have crashed to be refused.
    static constexpr std::size_t crashLimit = 2;
    /// Time after the last crash for which a request is refused, on all entry VMs.
    static constexpr std::chrono::hours quarantineTime { 1 };

    [[nodiscard]] auto isQuarantined(const RequestFingerprint& fingerprint, Core::Instant now) const -> bool;
    /// Returns true if the request may start now. If the request has crash reports, only one copy of it may run at a
    /// time. Each call that returns true requires an end() or endWithCrash().
    [[nodiscard]] auto tryBegin(const RequestFingerprint& fingerprint, Core::Instant now) -> bool;
    /// Records that the request ended without a lost connection.
    auto end(const RequestFingerprint& fingerprint, bool isAnswered) -> void;
    /// Records that the upstream's connection was lost while it ran the request. Returns the updated crash report.
    auto endWithCrash(const RequestFingerprint& fingerprint, const Core::UpstreamId& upstream, Core::Instant now)
        -> CrashReport;

    /// Drops the crash reports of a request that was answered without a tryBegin(), unless it is quarantined.
    auto clear(const RequestFingerprint& fingerprint, Core::Instant now) -> void;

    [[nodiscard]] auto summary(Core::Instant now) const -> QuarantineSummary override;
    [[nodiscard]] auto quarantined(const std::optional<RequestFingerprint>& after, std::size_t limit,
        Core::Instant now) const -> std::vector<CrashReport> override;
    auto merge(const std::vector<CrashReport>& crashReports, Core::Instant now) -> bool override;

private:
    struct Entry {
        [[nodiscard]] auto isQuarantined(Core::Instant now) const -> bool;
        /// Returns the last crashes, as many as the crash limit.
        [[nodiscard]] auto lastCrashes(const RequestFingerprint& fingerprint, Core::Instant now) const -> CrashReport;

        /// Instant of the crash of each upstream, or an earlier one if another VM reported it.
        std::map<Core::UpstreamId, Core::Instant> crashes;
        /// Instant of the last crash or answer.
        Core::Instant lastSeen;
        /// Instant of the answer that cleared the entry.
        Core::Instant answeredAt = Core::Instant::min();
    };

    auto mergeReport(const CrashReport& crashReport, Core::Instant now) -> bool;
    /// Returns the entry for a crash at the given instant, or null if all others are quarantined for later crashes.
    auto entryFor(const RequestFingerprint& fingerprint, Core::Instant crashedAt, Core::Instant now) -> Entry*;
    auto makeRoom(Core::Instant crashedAt, Core::Instant now) -> bool;
    auto decrementRunning(const RequestFingerprint& fingerprint) -> void;

    mutable std::mutex m_mutex;
    std::map<RequestFingerprint, std::size_t> m_running;
    std::map<RequestFingerprint, Entry> m_entries;
};

} // namespace Dispatch
