#pragma once

#include "fakes/forwarding/typeditems.h"
#include "fakes/forwarding/upstreamfield.h"
#include "fakes/forwarding/virtualcollections.h"
#include "forwardinghost/entryvm.h"

namespace Fakes {

/// Several entry VMs of two regions with the product's decisions, the store that they follow, and upstreams.
class ForwardingSite {
public:
    static constexpr std::size_t size = 5;
    /// A VM is in touch when no trouble has touched it, or the store, for so long.
    static constexpr Core::Millis stabilityTime { 3000 };

    explicit ForwardingSite(std::uint64_t seed);
    ~ForwardingSite();

    auto startVm(std::size_t index) -> void;
    auto crashVm(std::size_t index) -> void;
    auto pauseVm(std::size_t index) -> void;
    auto resumeVm(std::size_t index) -> void;
    [[nodiscard]] auto isRunning(std::size_t index) const -> bool;
    /// Null while its process does not run.
    auto vm(std::size_t index) -> ForwardingHost::EntryVm*;

    auto turnAway(std::size_t index) -> void;
    auto setStoreFaults(CollectionFaults faults) -> void;
    /// All VMs reach the store, which answers well.
    auto healStore() -> void;
    auto dropHistory() -> void;

    auto configure(std::shared_ptr<Forwarding::RoutingConfiguration> configuration) -> void;
    /// Makes the upstream and lists it in the store.
    auto addUpstream(const Forwarding::UpstreamEntry& entry, Core::Duration coldTime) -> void;
    auto listUpstream(const Core::UpstreamId& id, bool isDraining) -> void;
    /// The entry lapses though the upstream may live on.
    auto unlistUpstream(const Core::UpstreamId& id) -> void;
    auto setEvacuated(const Core::FailureDomainId& domain, bool isEvacuated) -> void;

    auto send(std::size_t index, Forwarding::ForwardRequest request, bool isIdempotent)
        -> std::shared_ptr<Forwarding::OpenRequest>;
    [[nodiscard]] auto isInTouch(const NodeId& vm) const -> bool;
    /// Notes what a VM believes that it must not: an older configuration than it knew, or one that is too old.
    auto checkBeliefs() -> void;

    /// Adds a line to the story of the run.
    auto tell(const std::string& line) -> void;
    [[nodiscard]] auto story() const -> const std::vector<std::string>& { return m_story; }

    VirtualWorld world;
    RequestBook book;
    VirtualCollections store { world };
    TypedItems codec;
    UpstreamField field;
    std::size_t answers = 0;
    std::size_t refusals = 0;

private:
    class Story;
    struct Process;

    static auto nodeOf(std::size_t index) -> NodeId;
    static auto settingsOf(std::size_t index) -> ForwardingHost::HostSettings;
    auto disturb(std::size_t index) -> void;
    auto disturbAll() -> void;
    auto noteReply(const Core::RequestId& id, const Forwarding::ForwardReply& reply) -> void;

    std::array<std::unique_ptr<Process>, size> m_processes;
    std::vector<std::string> m_story;
    std::map<NodeId, Core::Instant> m_disturbedAt;
    std::array<Core::Version, size> m_versions;
    std::shared_ptr<const Forwarding::RoutingConfiguration> m_configuration;
    Core::Instant m_configuredAt;
};

} // namespace Fakes
