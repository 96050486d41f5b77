#pragma once

#include "core/units.h"
#include "dispatch/requestfingerprint.h"

#include <map>
#include <mutex>
#include <set>
#include <vector>

namespace Dispatch {

/// Lists the upstreams whose connection was lost while they ran a request with this fingerprint.
struct CrashReport {
    RequestFingerprint fingerprint;
    std::set<Core::UpstreamId> upstreams;
};

/// Gives access to the crash reports that entry VMs exchange, so that the whole fleet refuses a request that crashes
/// upstreams.
class CrashReportExchange {
public:
    virtual ~CrashReportExchange() = default;
    [[nodiscard]] virtual auto crashReports() const -> std::vector<CrashReport> = 0;
    /// Adds the crash reports of another entry VM. Returns true if any of them was new.
    virtual auto merge(const std::vector<CrashReport>& crashReports, Core::Instant now) -> bool = 0;
};

/// Refuses requests that crashed upstreams. Drops the crash reports of a request that is answered before it reaches
/// the crash limit.
class RequestQuarantine : public CrashReportExchange {
public:
    /// Number of distinct upstreams that a request must have crashed to be refused.
    static constexpr std::size_t crashLimit = 2;

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
    auto clear(const RequestFingerprint& fingerprint) -> void;

    [[nodiscard]] auto crashReports() const -> std::vector<CrashReport> override;
    auto merge(const std::vector<CrashReport>& crashReports, Core::Instant now) -> bool override;

private:
    struct Entry {
        std::set<Core::UpstreamId> upstreams;
        Core::Instant lastSeen;
    };

    auto evictIfFull(Core::Instant now) -> void;
    auto decrementRunning(const RequestFingerprint& fingerprint) -> void;

    mutable std::mutex m_mutex;
    std::map<RequestFingerprint, std::size_t> m_running;
    std::map<RequestFingerprint, Entry> m_entries;
};

} // namespace Dispatch
