#pragma once

#include "core/error.h"
#include "core/ids.h"
#include "storesync/collectionmirror.h"

#include <cstdint>
#include <functional>
#include <optional>

namespace StoreSync {

/// What an entry VM knows of the store's presence.
struct StoreContact {
    /// Age of an entry VM's copies up to which others follow it. Longer than the pings of a VM that reads the store,
    /// with a lost one, so that calm follows do not end.
    static constexpr Core::Millis maximumAge { 1000 };

    /// Longest chain of entry VMs between an entry VM that others follow and the store. With a bound, VMs cannot follow
    /// each other in a circle.
    static constexpr std::uint32_t maximumHops = 1;

    /// The store, or an entry VM that passes its changes on, answers.
    bool isReachable = false;
    /// Time since the store was heard from, directly or through others; nothing if it never was. The copies may lack
    /// changes made since then.
    std::optional<Core::Duration> age;
    /// Number of entry VMs that the changes pass on their way to this one.
    std::uint32_t hops = 0;
    /// Latest era in which the store was seen.
    Ports::StoreEra era;

    /// Returns true if the copies show what the store has now.
    [[nodiscard]] auto isCurrent() const -> bool { return isReachable && age && *age <= maximumAge; }

    /// Returns true if others may follow.
    [[nodiscard]] auto isFresh() const -> bool { return isCurrent() && hops <= maximumHops; }
};

/// Request for news of the collections, beyond the known revisions.
struct MirrorPoll {
    KnownRevisions known;
    /// Longest time for which the answer may wait for news.
    Core::Millis hold { 0 };
    /// The sender states the eras of its revisions. If not, they are taken to be of the era of the copies here.
    bool statesEras = true;
};

struct MirrorResponse {
    StoreContact contact;
    MirrorNews news;
};

/// Asks other entry VMs for news of the collections. The shape is that of the store's watch.
class MirrorPort {
public:
    using Callback = std::function<void(Core::Result<MirrorResponse>)>;

    virtual ~MirrorPort() = default;
    virtual auto poll(const Core::Address& peer, const MirrorPoll& poll, Callback callback) -> void = 0;
};

} // namespace StoreSync
