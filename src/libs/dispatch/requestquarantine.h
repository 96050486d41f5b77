#pragma once

#include "core/units.h"
#include "dispatch/requestfingerprint.h"

#include <map>
#include <mutex>
#include <set>
#include <vector>

namespace Dispatch {

/// Upstreams that lost their connection while they ran a request with this fingerprint.
struct CrashSuspicion {
    RequestFingerprint fingerprint;
    std::set<Core::UpstreamId> upstreams;
};

/// What members exchange so that a request that crashes upstreams is refused over the whole fleet.
class CrashSuspicionExchange {
public:
    virtual ~CrashSuspicionExchange() = default;
    [[nodiscard]] virtual auto suspicions() const -> std::vector<CrashSuspicion> = 0;
    /// Adds what another member saw. Returns whether anything was new.
    virtual auto merge(const std::vector<CrashSuspicion>& suspicions, Core::Instant now) -> bool = 0;
};

/// Refuses requests that crashed upstreams. A request that succeeds anywhere is no longer suspected.
class RequestQuarantine : public CrashSuspicionExchange {
public:
    /// Distinct upstreams that a request may crash before it is refused.
    static constexpr std::size_t crashLimit = 2;

    [[nodiscard]] auto isQuarantined(const RequestFingerprint& fingerprint, Core::Instant now) const -> bool;
    /// Whether the request may start now; a suspected request runs one copy at a time. Each true needs an end().
    [[nodiscard]] auto tryBegin(const RequestFingerprint& fingerprint, Core::Instant now) -> bool;
    /// The request ended without a lost connection.
    auto end(const RequestFingerprint& fingerprint, bool isAnswered) -> void;
    /// The upstream's connection was lost while it ran the request. Returns what is now suspected of it.
    auto endWithCrash(const RequestFingerprint& fingerprint, const Core::UpstreamId& upstream, Core::Instant now)
        -> CrashSuspicion;

    /// The request was answered without being counted as begun; forgets it unless it is refused.
    auto clear(const RequestFingerprint& fingerprint) -> void;

    [[nodiscard]] auto suspicions() const -> std::vector<CrashSuspicion> override;
    auto merge(const std::vector<CrashSuspicion>& suspicions, Core::Instant now) -> bool override;

private:
    struct Entry {
        std::set<Core::UpstreamId> upstreams;
        Core::Instant lastSeen;
    };

    auto makeRoom(Core::Instant now) -> void;
    auto stopRunning(const RequestFingerprint& fingerprint) -> void;

    mutable std::mutex m_mutex;
    std::map<RequestFingerprint, std::size_t> m_running;
    std::map<RequestFingerprint, Entry> m_entries;
};

} // namespace Dispatch
