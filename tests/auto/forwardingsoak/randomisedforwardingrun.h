#pragma once

#include "fakes/forwarding/forwardingsite.h"

/// Plays random requests and random troubles on a site of entry VMs, in virtual time.
class ForwardingChaos {
public:
    explicit ForwardingChaos(std::uint64_t seed);

    /// Runs until the time is over or a promise is broken.
    auto run(Core::Duration duration) -> void;
    /// Ends all troubles, waits, and returns the share of new requests that upstreams answer then.
    auto servedShareAfterHealing() -> double;
    [[nodiscard]] auto site() const -> const Fakes::ForwardingSite& { return m_site; }

private:
    using OpenRequests = std::vector<std::shared_ptr<Forwarding::OpenRequest>>;

    auto step() -> void;
    auto sendRequest() -> void;
    auto abandonRequest() -> void;
    auto configure() -> void;
    auto evacuate() -> void;
    auto disturbVms() -> void;
    auto crashVm(std::size_t index) -> void;
    auto disturbNetwork() -> void;
    auto disturbStore() -> void;
    auto disturbUpstreams() -> void;
    auto setFieldFaults() -> void;
    auto drain(const Core::UpstreamId& id, bool isAnnounced) -> void;
    auto crash(const Core::UpstreamId& id) -> void;
    auto listWhenStoreTakesIt(const Core::UpstreamId& id) -> void;
    auto restart(const Forwarding::UpstreamEntry& ended) -> void;
    /// Entries of upstreams that live lapse, and come back after the store has.
    auto lapseEntries(Core::Duration away) -> void;
    auto endStoreTrouble() -> void;
    auto addUpstream(const Core::Address& address) -> void;
    [[nodiscard]] auto makeEntry(const Core::UpstreamId& id, const Core::Address& address) -> Forwarding::UpstreamEntry;
    [[nodiscard]] auto anyUpstream() -> std::optional<Core::UpstreamId>;
    [[nodiscard]] auto anyVm() -> std::size_t { return m_site.world.below(Fakes::ForwardingSite::size); }
    [[nodiscard]] auto isStoreWell() const -> bool;
    auto later(Core::Duration delay, Ports::Scheduler::Task task) -> void;

    Fakes::ForwardingSite m_site;
    /// Requests of each VM's present process that have no reply yet, and some that have.
    std::array<OpenRequests, Fakes::ForwardingSite::size> m_open;
    std::set<Core::UpstreamId> m_upstreams;
    /// Upstreams that were told to leave.
    std::set<Core::UpstreamId> m_leaving;
    std::set<Core::FailureDomainId> m_evacuated;
    double m_sendChance = 0.8;
    std::uint64_t m_nextRequest = 0;
    std::uint64_t m_nextUpstream = 0;
    std::uint64_t m_version = 0;
    std::int64_t m_nextStart = 1;
    bool m_isStoreDisturbed = false;
    bool m_isHealing = false;
};
