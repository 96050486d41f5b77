#pragma once

#include "configuration/configurationholder.h"
#include "fakes/steering/slotdispatcher.h"
#include "fleet/fleetholder.h"
#include "relaypeer/relaypeer.h"
#include "steering/steeringsystem.h"

namespace Fakes {

/// Entry VMs of several failure domains with the real decisions of look-ups, relays and credits, on virtual time.
class SteeringFleet {
public:
    struct Place {
        std::string failureDomain;
        std::string region;
        std::uint32_t slots = 0;
    };
    /// What became of the requests that callers of one failure domain sent.
    struct Tally {
        std::uint64_t sent = 0;
        std::uint64_t answered = 0;
        std::uint64_t notRun = 0;
        std::uint64_t unknown = 0;
    };
    /// Relayed requests of other failure domains that a failure domain ran, and credits that it granted.
    struct Exchange {
        std::uint64_t granted = 0;
        std::uint64_t taken = 0;
        std::uint64_t highestQueue = 0;
    };

    SteeringFleet(std::uint64_t seed, const std::vector<Place>& places, std::size_t vmsPerPlace);
    ~SteeringFleet();

    auto configuration() -> Configuration::SteeringConfiguration& { return m_next; }
    /// Puts the changed configuration in force.
    auto publish() -> void;
    auto world() -> VirtualWorld& { return m_world; }
    /// Requests per second that callers bring to a failure domain.
    auto setArrivals(const std::string& failureDomain, double perSecond) -> void
    {
        m_arrivals[failureDomain] = perSecond;
    }
    /// Callers follow look-up answers of their failure domain's entry VMs instead of using those VMs themselves.
    auto followLookups() -> void { m_followsLookups = true; }
    auto setSlots(const std::string& failureDomain, std::uint32_t slots) -> void;
    auto crash(const std::string& failureDomain) -> void;
    auto restart(const std::string& failureDomain) -> void;
    auto crashVm(std::size_t index) -> void;
    auto restartVm(std::size_t index) -> void;
    auto cut(const std::string& one, const std::string& other) -> void;
    auto heal() -> void;
    auto run(Core::Duration duration) -> void;
    /// Lets what is in flight end.
    auto settle() -> void;

    [[nodiscard]] auto vmCount() const -> std::size_t { return m_vms.size(); }
    [[nodiscard]] auto tally(const std::string& failureDomain) const -> Tally;
    [[nodiscard]] auto exchange(const std::string& failureDomain) const -> Exchange;
    /// Requests per failure domain where callers sent them.
    [[nodiscard]] auto received() const -> const std::map<std::string, std::uint64_t>& { return m_received; }
    /// Bytes of requests that entry VMs of one region sent to another in each second of the run.
    [[nodiscard]] auto crossedBytes(const std::string& from, const std::string& to) const
        -> std::map<std::int64_t, std::uint64_t>;
    /// Checks what must hold of every request so far; the text says what does not, empty when all does.
    [[nodiscard]] auto violations() const -> std::string;

    static const Core::ServiceId stock;
    static const Core::ServiceId booking;
    static constexpr std::size_t bodyBytes = 1000;

private:
    class EntryVm;
    struct Sent {
        bool isIdempotent = true;
        std::uint32_t replies = 0;
        bool wasNotRun = false;
        bool wasCrossed = false;
    };

    auto tick() -> void;
    auto countRelay(const Fleet::EntryVm& from, const Fleet::EntryVm& to, std::size_t bytes) -> void;
    auto sendFrom(const std::string& failureDomain) -> void;
    auto pickVm(const std::string& failureDomain, const Core::ServiceId& service) -> EntryVm*;
    auto aliveVms(const std::string& failureDomain) -> std::vector<EntryVm*>;
    auto findVm(const Core::EntryVmId& id) -> EntryVm*;
    auto spreadMembership() -> void;
    auto isReachable(const EntryVm& from, const EntryVm& to) const -> bool;

    VirtualWorld m_world;
    Configuration::SteeringConfiguration m_next;
    Configuration::ConfigurationHolder m_configuration;
    Fleet::FleetHolder m_fleet;
    RunCounts m_runs;
    std::map<Core::RequestId, Sent> m_sent;
    std::map<std::string, double> m_arrivals;
    std::map<std::string, double> m_due;
    std::map<std::string, Tally> m_tallies;
    std::map<std::string, Exchange> m_exchanges;
    std::map<std::string, std::uint64_t> m_received;
    std::map<std::pair<std::string, std::string>, std::map<std::int64_t, std::uint64_t>> m_crossed;
    std::set<std::pair<std::string, std::string>> m_cuts;
    std::vector<std::unique_ptr<EntryVm>> m_vms;
    bool m_followsLookups = false;
    std::uint64_t m_nextId = 0;
    Core::Instant m_nextSpread;
};

} // namespace Fakes
