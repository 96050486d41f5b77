#pragma once

#include "crashreports/quarantineport.h"
#include "ports/clock.h"
#include "ports/eventsink.h"
#include "ports/randomsource.h"
#include "ports/scheduler.h"

#include <deque>
#include <memory>
#include <mutex>

namespace CrashReports {

/// Tells this entry VM what others refuse and it has not been told of. The VMs compare digests, which their heartbeats
/// carry; one whose digest differs from another's asks that one for its quarantined requests. It takes over
/// - news, that is, crashes that followed each other closely and not long ago;
/// - after a start or a pause what it missed, from one other VM: a restart neither forgets nor adds anything.
///
/// It takes over no more than that, because VMs judge by the answers that they have seen themselves. If each took over
/// all that any other refuses, one that has seen too few would have all VMs refuse sound requests.
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
    /// Time for which crashes are news.
    static constexpr std::chrono::seconds newsTime { 60 };
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

    /// Takes over what was missed until now, because this VM was paused.
    auto catchUp() -> void;
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

    [[nodiscard]] auto isOfInterest(Dispatch::QuarantineDigest digest) const -> bool;
    /// Returns those of the reports, asked for at the given instant, that this VM takes over.
    [[nodiscard]] auto select(const std::vector<Dispatch::CrashReport>& reports, Core::Instant askedAt) const
        -> std::vector<Dispatch::CrashReport>;
    auto schedule(Core::Duration delay) -> void;
    auto fetch() -> void;
    auto handlePage(const Source& source, Core::Instant askedAt, const Core::Result<QuarantinePage>& page) -> void;
    /// Returns true if another page may be sent now.
    [[nodiscard]] auto mayServe(Core::Instant now) -> bool;
    /// Asks for the next page, or ends the comparison with the source.
    auto proceed(const Source& source, const Core::Result<QuarantinePage>& page) -> void;

    const Environment m_environment;
    mutable std::mutex m_mutex;
    /// Digest of this VM when it was computed last.
    Dispatch::QuarantineDigest m_digest;
    /// Digests of others whose requests were all looked at, the last one at the end.
    std::deque<Dispatch::QuarantineDigest> m_examined;
    /// Last instant at which this VM may have missed what it was told.
    Core::Instant m_absentUntil;
    bool m_hasCaughtUp = false;
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
