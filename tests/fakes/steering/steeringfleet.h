#pragma once

#include "configuration/configurationholder.h"
#include "fakes/steering/slotdispatcher.h"
#include "fleet/fleetholder.h"
#include "relaypeer/relaypeer.h"
#include "steering/steeringsystem.h"

namespace Fakes {

/// Simulates the entry VMs of several failure domains in virtual time, with the production code for look-ups, relays
/// and credits.
class SteeringFleet {
public:
    struct DomainSpec {
        std::string failureDomain;
        std::string region;
        std::uint32_t slots = 0;
    };
    /// Outcomes of the requests that callers of one failure domain sent.
    struct RequestCounts {
        std::uint64_t sent = 0;
        std::uint64_t answered = 0;
        std::uint64_t notRun = 0;
        std::uint64_t unknown = 0;
    };
    /// Credits that a failure domain granted and requests that it answered on credit, with its longest queue.
    struct CreditCounts {
        std::uint64_t granted = 0;
        std::uint64_t answeredOnCredit = 0;
        std::uint64_t highestQueue = 0;
    };

    SteeringFleet(std::uint64_t seed, const std::vector<DomainSpec>& domains, std::size_t vmsPerDomain);
    ~SteeringFleet();

    auto configuration() -> Configuration::SteeringConfiguration& { return m_nextConfiguration; }
    /// Applies the changed configuration.
    auto publish() -> void;
    auto world() -> VirtualWorld& { return m_world; }
    /// Sets the rate of requests that callers send to a failure domain.
    auto setArrivals(const std::string& failureDomain, double perSecond) -> void
    {
        m_arrivals[failureDomain] = perSecond;
    }
    /// Makes callers send requests to the entry VMs named in look-up answers of their failure domain, instead of to the
    /// entry VMs of their failure domain.
    auto useLookupAnswers() -> void { m_usesLookupAnswers = true; }
    auto setSlots(const std::string& failureDomain, std::uint32_t slots) -> void;
    auto crash(const std::string& failureDomain) -> void;
    auto restart(const std::string& failureDomain) -> void;
    auto crashVm(std::size_t index) -> void;
    auto restartVm(std::size_t index) -> void;
    auto cut(const std::string& one, const std::string& other) -> void;
    auto heal() -> void;
    auto run(Core::Duration duration) -> void;
    /// Stops all arrivals and runs until the requests in flight have completed.
    auto finishInFlight() -> void;

    [[nodiscard]] auto vmCount() const -> std::size_t { return m_vms.size(); }
    [[nodiscard]] auto requestCounts(const std::string& failureDomain) const -> RequestCounts;
    [[nodiscard]] auto creditCounts(const std::string& failureDomain) const -> CreditCounts;
    /// Number of requests that callers sent to each failure domain.
    [[nodiscard]] auto received() const -> const std::map<std::string, std::uint64_t>& { return m_received; }
    /// Bytes of requests that the entry VMs of one region relayed to another, by second of virtual time.
    [[nodiscard]] auto crossRegionBytes(const std::string& from, const std::string& to) const
        -> std::map<std::int64_t, std::uint64_t>;
    /// Checks the invariants of all requests so far. Returns a description of the first violation, or an empty string.
    [[nodiscard]] auto violations() const -> std::string;

    static const Core::ServiceId stock;
    static const Core::ServiceId booking;
    static constexpr std::size_t bodyBytes = 1000;

private:
    class EntryVm;
    struct SentRequest {
        bool isIdempotent = true;
        std::uint32_t replies = 0;
        bool wasNotRun = false;
        bool hadWrongAnswer = false;
    };

    auto tick() -> void;
    auto countRelay(const Fleet::EntryVm& from, const Fleet::EntryVm& to, std::size_t bytes) -> void;
    auto sendFrom(const std::string& failureDomain) -> void;
    auto pickVm(const std::string& failureDomain, const Core::ServiceId& service) -> EntryVm*;
    auto runningVms(const std::string& failureDomain) -> std::vector<EntryVm*>;
    auto findVm(const Core::EntryVmId& id) -> EntryVm*;
    auto updateMembership() -> void;
    auto isReachable(const EntryVm& from, const EntryVm& to) const -> bool;

    VirtualWorld m_world;
    Configuration::SteeringConfiguration m_nextConfiguration;
    Configuration::ConfigurationHolder m_configuration;
    Fleet::FleetHolder m_fleet;
    RunCounts m_runs;
    std::map<Core::RequestId, SentRequest> m_sent;
    std::map<std::string, double> m_arrivals;
    std::map<std::string, double> m_dueRequests;
    std::map<std::string, RequestCounts> m_requestCounts;
    std::map<std::string, CreditCounts> m_creditCountsByDomain;
    std::map<std::string, std::uint64_t> m_received;
    std::map<std::pair<std::string, std::string>, std::map<std::int64_t, std::uint64_t>> m_crossRegionBytes;
    std::set<std::pair<std::string, std::string>> m_cuts;
    std::vector<std::unique_ptr<EntryVm>> m_vms;
    bool m_usesLookupAnswers = false;
    std::uint64_t m_nextId = 0;
    Core::Instant m_nextMembershipUpdate;
};

} // namespace Fakes
