#pragma once

#include "crashreports/quarantineport.h"
#include "ports/clock.h"
#include "ports/eventsink.h"
#include "ports/randomsource.h"
#include "ports/scheduler.h"

#include <memory>
#include <mutex>

namespace CrashReports {

/// Brings what this entry VM refuses in line with the others, also if it started, or was cut off, when they were told.
/// The VMs compare digests, which their heartbeats carry; one whose digest differs from another's asks that one for
/// what it lacks.
///
/// Load that it answers: all VMs of a large fleet learn of a request at the same time. Each asks one other VM at a
/// time, and answers a bounded number, so that the traffic of a VM does not grow with the fleet.
class QuarantineSync {
public:
    struct Environment {
        const Ports::Clock& clock;
        Ports::Scheduler& scheduler;
        Ports::RandomSource& random;
        Ports::EventSink& events;
        QuarantinePort& port;
        Dispatch::CrashReportExchange& quarantine;
    };

    /// Shortest time between two requests for a page.
    static constexpr Core::Millis fetchInterval { 500 };
    /// Longest time for which a VM listens to others before it chooses one of those that differ.
    static constexpr Core::Millis choiceTime { 200 };
    /// Largest numbers of pages, and of reports in them, that a VM sends in a fetchInterval.
    static constexpr std::size_t maximumPagesServed = 16;
    static constexpr std::size_t maximumReportsServed = 2 * QuarantinePage::maximumReports;

    /// Pages since the start.
    struct Counts {
        std::uint64_t fetched = 0;
        std::uint64_t served = 0;
    };

    explicit QuarantineSync(Environment environment);

    /// Returns the digest of what this entry VM refuses now.
    auto digest() -> Dispatch::QuarantineDigest;
    /// Compares the digest of the entry VM, which is not zero.
    auto receive(const Core::Address& entryVm, Dispatch::QuarantineDigest digest) -> void;
    /// Returns the page behind the given fingerprint, or Unavailable if too many were sent lately.
    auto page(const std::optional<Dispatch::RequestFingerprint>& after) -> Core::Result<QuarantinePage>;
    [[nodiscard]] auto counts() const -> Counts;
    /// Returns the number of requests that this entry VM refuses now.
    [[nodiscard]] auto requests() const -> std::size_t;

private:
    /// Another entry VM that refuses other requests.
    struct Source {
        Core::Address address;
        Dispatch::QuarantineDigest digest;
    };

    /// Digests of this VM and of another one that lacks some of what this one has, and has nothing more.
    struct Settled {
        Dispatch::QuarantineDigest own;
        Dispatch::QuarantineDigest other;

        friend auto operator==(const Settled&, const Settled&) -> bool = default;
    };

    [[nodiscard]] auto isOfInterest(Dispatch::QuarantineDigest digest) const -> bool;
    auto schedule(Core::Duration delay) -> void;
    auto fetch() -> void;
    auto handlePage(const Source& source, Core::Instant askedAt, const Core::Result<QuarantinePage>& page) -> void;
    /// Returns true if another page may be sent now.
    [[nodiscard]] auto mayServe(Core::Instant now) -> bool;
    /// Asks for the next page, or ends the comparison with the source.
    auto proceed(const Source& source, Dispatch::QuarantineDigest own, const Core::Result<QuarantinePage>& page)
        -> void;

    const Environment m_environment;
    mutable std::mutex m_mutex;
    /// Digest of this VM when it was computed last.
    Dispatch::QuarantineDigest m_digest;
    std::optional<Settled> m_settled;
    Source m_source;
    /// Number of VMs that differed since the last request for a page.
    std::uint64_t m_candidates = 0;
    /// Last request of the pages that were taken from the source.
    std::optional<Dispatch::RequestFingerprint> m_position;
    bool m_isFetching = false;
    Core::Instant m_nextFetch;
    std::unique_ptr<Ports::Timer> m_timer;
    Core::Instant m_servingSince;
    std::size_t m_pagesServed = 0;
    std::size_t m_reportsServed = 0;
    Counts m_counts;
};

} // namespace CrashReports
