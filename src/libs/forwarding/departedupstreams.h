#pragma once

#include "forwarding/upstreamlist.h"

#include <deque>
#include <optional>

namespace Forwarding {

/// Returns true if the entry repeats an earlier statement of the upstream than the known one, because the store has
/// returned from an older copy. Within an era of the store its own order is right.
[[nodiscard]] auto isOutdatedCopy(const UpstreamEntry& entry, const UpstreamEntry& known) -> bool;

/// Remembers for some time what upstreams said last before they left, and quarantines those that a store lists again
/// after it has returned from an older copy.
class DepartedUpstreams {
public:
    /// Longer than the store's copies are old and upstreams that leave keep serving.
    static constexpr Core::Millis memory { 60'000 };
    /// Time for which an upstream that had left without a notice is not used, although the store lists it again. Its
    /// entry expires sooner unless it is alive.
    static constexpr Core::Millis quarantineTime { 10'000 };

    auto record(const UpstreamEntry& last, Core::Instant now) -> void;
    /// Returns the last known statement of an upstream that has left, if a returned store lists it at that start or an
    /// earlier one; null otherwise. The entry may be a later statement that was never seen: what counts is that the
    /// upstream was seen to be gone.
    [[nodiscard]] auto departureOf(const UpstreamEntry& entry) const -> const UpstreamEntry*;
    /// Returns true if the entry says more than what is known of the upstream that has left or is in quarantine.
    [[nodiscard]] auto isNews(const UpstreamEntry& entry) const -> bool;
    /// Begins or continues the quarantine of the upstream.
    auto quarantine(const UpstreamEntry& entry, Core::Instant now) -> void;
    [[nodiscard]] auto isInQuarantine(const Core::UpstreamId& id) const -> bool { return m_quarantined.contains(id); }
    /// To be called when the upstream is used, or not listed any more.
    auto release(const Core::UpstreamId& id) -> void { m_quarantined.erase(id); }
    auto releaseUnlisted(const std::set<Core::UpstreamId>& listed) -> void;
    /// Returns the entries whose time is over, which are no longer in quarantine.
    [[nodiscard]] auto takeDue(Core::Instant now) -> std::vector<UpstreamEntry>;
    /// Returns when the next time is over, or nothing if no upstream is in quarantine.
    [[nodiscard]] auto nextDue() const -> std::optional<Core::Instant>;

private:
    struct Quarantined {
        UpstreamEntry entry;
        Core::Instant until;
    };
    struct Departure {
        Core::UpstreamId id;
        Core::Instant at;
    };

    std::map<Core::UpstreamId, UpstreamEntry> m_last;
    /// Oldest first.
    std::deque<Departure> m_departures;
    std::map<Core::UpstreamId, Quarantined> m_quarantined;
};

} // namespace Forwarding
