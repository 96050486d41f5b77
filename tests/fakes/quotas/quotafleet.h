#pragma once

#include "fakes/virtualworld.h"
#include "quotas/fleetquotas.h"

namespace Fakes {

/// VMs that share the quotas of organisations, in virtual time, with a network between them that can lose messages.
class QuotaFleet {
public:
    /// Requests of an organisation.
    struct Tally {
        std::size_t requests = 0;
        std::size_t refused = 0;
        /// Times at which requests ran.
        std::vector<Core::Instant> runs;
        Core::Duration waited {};
    };

    static constexpr Quotas::QuotaBounds bounds { std::chrono::seconds(5), 0.1, 20 };

    QuotaFleet(std::uint64_t seed, std::size_t vmCount);
    ~QuotaFleet();

    /// Sets the quotas on all VMs that run. VMs that start later get them, too.
    auto setQuota(const std::string& organisation, const Organisations::Quota& quota) -> void;
    auto applyQuotas() -> void;
    /// Starts the VM and lists it.
    auto start(std::size_t vm) -> void;
    auto startAll() -> void;
    /// Takes a VM that has not run yet out of the fleet, so that it joins when it is started.
    auto forget(std::size_t vm) -> void;
    auto crash(std::size_t vm) -> void;
    auto pause(std::size_t vm) -> void { world.pause(nodeOf(vm)); }
    auto resume(std::size_t vm) -> void { world.resume(nodeOf(vm)); }
    /// Cuts the links between the first VMs and all others, as if they were in another region.
    auto cutFirst(std::size_t vms) -> void;
    /// Cuts all links of the VM.
    auto isolate(std::size_t vm) -> void;
    [[nodiscard]] auto isRunning(std::size_t vm) const -> bool;
    [[nodiscard]] auto size() const -> std::size_t { return m_processes.size(); }

    /// Sends a request of the organisation to the VM. It runs as soon as it has a permit, or gives the permit back.
    auto request(std::size_t vm, const std::string& organisation, bool isSent = true) -> void;
    [[nodiscard]] auto tally(const std::string& organisation) const -> const Tally&
    {
        return m_tallies.at(organisation);
    }
    /// Delivers a message to the VM at once.
    auto deliver(std::size_t vm, const Quotas::PermitMessage& message) -> Quotas::PermitReply;
    [[nodiscard]] auto sentMessages(std::size_t vm) const -> std::uint64_t;
    [[nodiscard]] auto stock(const std::string& organisation) const -> double;

    VirtualWorld world;

private:
    struct Process;

    static auto nodeOf(std::size_t vm) -> NodeId { return NodeId("vm-" + std::to_string(1000 + vm)); }
    static auto memberOf(std::size_t vm) -> Quotas::TreeMember;
    auto listMembers() -> void;

    std::vector<std::unique_ptr<Process>> m_processes;
    std::map<std::string, Organisations::Quota> m_quotas;
    std::map<std::string, Organisations::OrganisationPointer> m_organisations;
    std::map<std::string, Tally> m_tallies;
    std::set<std::size_t> m_listed;
    std::int64_t m_nextStart = 1;
};

} // namespace Fakes
