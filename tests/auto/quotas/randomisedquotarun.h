#pragma once

#include "fakes/quotas/quotafleet.h"

/// Sends far more requests than the quotas allow to VMs that are killed, paused, cut off, restarted together and joined
/// by others, while quotas change, in virtual time. Checks the bound of each organisation in every window.
class RandomisedQuotaRun {
public:
    explicit RandomisedQuotaRun(std::uint64_t seed);

    auto run(Core::Duration duration) -> void;
    /// Returns the largest number of requests beyond the bound that ran in any window; not positive if the bound held.
    [[nodiscard]] auto excess() const -> double;
    [[nodiscard]] auto runCount() const -> std::size_t;

private:
    struct Demand {
        std::string organisation;
        double perSecond = 0;
        /// VMs to which the callers are connected; 0 stands for all.
        std::size_t vms = 0;
        /// Quotas and the times from which they hold.
        std::vector<std::pair<Core::Instant, Organisations::Quota>> quotas;
    };

    auto step() -> void;
    auto send(const Demand& demand) -> void;
    auto disturb() -> void;
    auto changeQuota() -> void;
    auto setQuota(Demand& demand) -> void;
    auto crashOrStart(std::size_t vm) -> void;
    auto restartAll() -> void;
    [[nodiscard]] auto randomVm() -> std::size_t { return m_fleet.world.below(m_fleet.size()); }
    [[nodiscard]] auto excessOf(const Demand& demand) const -> double;

    Fakes::QuotaFleet m_fleet;
    /// VMs from here on join in the run.
    std::size_t m_joined = 0;
    std::vector<Demand> m_demands;
};
