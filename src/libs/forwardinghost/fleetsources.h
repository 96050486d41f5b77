#pragma once

#include "entryfleet/entryfleet.h"
#include "forwardinghost/entryvmsettings.h"
#include "storesync/sourcechoice.h"

namespace ForwardingHost {

/// Shows the fleet as sources of the store's changes.
class FleetSources : public StoreSync::SourceView {
public:
    FleetSources(const EntryVmSettings& settings, const EntryFleet::EntryFleet& fleet)
        : m_settings(settings)
        , m_fleet(fleet)
    {
    }

    [[nodiscard]] auto ranking() const -> std::vector<StoreSync::SourceCandidate> override;
    /// Returns the listed peers, or the seeds if there are none.
    [[nodiscard]] auto knownPeers() const -> std::vector<Core::Address> override;
    [[nodiscard]] auto knownRanking() const -> std::vector<StoreSync::SourceCandidate> override;

private:
    [[nodiscard]] auto candidates(const std::vector<EntryFleet::EntryVmEntry>& entries) const
        -> std::vector<StoreSync::SourceCandidate>;

    const EntryVmSettings& m_settings;
    const EntryFleet::EntryFleet& m_fleet;
};

} // namespace ForwardingHost
