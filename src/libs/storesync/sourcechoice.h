#pragma once

#include "core/ids.h"
#include "core/units.h"

#include <map>
#include <optional>
#include <vector>

namespace StoreSync {

/// Entry VM that may read the store for others.
struct SourceCandidate {
    Core::Address address;
    bool isSelf = false;
    /// In this VM's failure domain.
    bool isNear = false;
};

/// Tells which entry VMs may read the store for others.
class SourceView {
public:
    virtual ~SourceView() = default;
    /// Returns the live entry VMs of the region, those first that are to read the store. The order is the same on all
    /// VMs with the same view. Empty as long as this VM does not know the others' state.
    [[nodiscard]] virtual auto ranking() const -> std::vector<SourceCandidate> = 0;
    /// Returns the entry VMs that a VM without access to the store may ask, the best ones first.
    [[nodiscard]] virtual auto knownPeers() const -> std::vector<Core::Address> = 0;
    /// Returns the ranking of all listed entry VMs of the region, whether they are alive or not.
    [[nodiscard]] virtual auto knownRanking() const -> std::vector<SourceCandidate> = 0;
};

/// Chooses where an entry VM takes the store's changes from, and remembers who was of no use lately.
class SourceChoice {
public:
    /// Number of the ranking's first places, in multiples of the watchers, whose VMs may read the store. In an outage
    /// of the store all of them try, and the others wait for them.
    static constexpr std::size_t placesPerWatcher = 3;
    /// Each time a copy has grown older by this much, beyond the age up to which it counts as fresh, the same number of
    /// places as there are watchers is added: the store may turn away all VMs that were tried and serve others.
    static constexpr Core::Millis timePerFurtherPlaces { 200 };

    enum class Kind { ReadStore, Follow, Wait };
    struct Choice {
        Kind kind = Kind::ReadStore;
        /// Whom to follow.
        Core::Address source;
    };

    explicit SourceChoice(std::size_t watchers)
        : m_watchers(watchers)
    {
    }

    /// Returns true if in a region of this size every VM reads the store itself.
    [[nodiscard]] auto isSmall(std::size_t regionSize) const -> bool
    {
        return m_watchers == 0 || regionSize <= m_watchers * placesPerWatcher;
    }
    /// `overdue` is by how much this VM's copies are older than fresh ones.
    [[nodiscard]] auto fromRanking(
        const std::vector<SourceCandidate>& ranking, Core::Duration overdue, Core::Instant now) const -> Choice;
    auto avoid(const Core::Address& source, Core::Instant until) -> void { m_avoidedUntil[source] = until; }
    auto accept(const Core::Address& source) -> void { m_avoidedUntil.erase(source); }

private:
    [[nodiscard]] auto isAvoided(const Core::Address& source, Core::Instant now) const -> bool;

    const std::size_t m_watchers;
    std::map<Core::Address, Core::Instant> m_avoidedUntil;
};

} // namespace StoreSync
