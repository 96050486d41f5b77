#pragma once

#include "forwarding/placementsettings.h"
#include "forwarding/rankedroom.h"
#include "forwarding/replicaplanner.h"
#include "forwarding/routingconfiguration.h"
#include "forwarding/upstreamnotice.h"
#include "forwarding/upstreamstate.h"
#include "forwarding/worktime.h"

#include <mutex>

namespace Forwarding {

/// Place of this entry VM, from which distances are counted.
struct Place {
    Core::FailureDomainId failureDomain;
    Core::RegionId region;
};

/// What placement needs to know of the other entry VMs.
class EntryVmView {
public:
    virtual ~EntryVmView() = default;
    /// Whether this entry VM alone may send requests to the upstream while it is cold, so that its limit holds over
    /// all.
    [[nodiscard]] virtual auto isOwner(const UpstreamEntry& upstream) const -> bool = 0;
    /// Entry VMs of the region that take callers, this one included; at least 1.
    [[nodiscard]] virtual auto regionalCount() const -> std::size_t = 0;
};

/// What the choice of an upstream depends on.
struct ChoiceQuery {
    Core::RequestId request;
    /// Empty when the request is about no object.
    ObjectKey object;
    /// Regions that may serve it; empty allows all.
    const std::vector<Core::RegionId>* homes = nullptr;
    /// Upstreams that it was sent to before.
    const std::vector<Core::UpstreamId>* tried = nullptr;
    Core::Duration timeLeft {};
    /// Time within which an answer is worth most.
    Core::Duration targetLatency {};
    /// 0 is the most urgent.
    int priority = 0;
};

/// Upstream that was chosen, with what decided it.
struct Choice {
    Ports::UpstreamTarget target;
    Core::FailureDomainId failureDomain;
    Familiarity familiarity = Familiarity::Plain;
    double occupancy = 0;
    Core::Duration predicted {};
};

enum class NoChoiceReason : std::uint8_t {
    /// The service has no upstream that may serve the request now.
    NoUpstream,
    /// All upstreams have as many requests waiting as can be served in time.
    Busy,
    /// An answer would come after the deadline.
    DeadlineUnreachable,
};

struct NoChoice {
    NoChoiceReason reason = NoChoiceReason::NoUpstream;
    /// Upstreams that were weighed.
    std::size_t candidates = 0;
    /// Time after which room is expected.
    Core::Duration wait {};
};

using ChoiceResult = tl::expected<Choice, NoChoice>;

/// How one exchange with a chosen upstream ended.
struct ExchangeReport {
    Ports::UpstreamTarget target;
    ObjectKey object;
    Ports::ExchangeOutcome outcome = Ports::ExchangeOutcome::Answered;
    bool isUpstreamError = false;
    bool reusedConnection = false;
    std::optional<Ports::ReportedLoad> load;
    Core::Duration duration {};
    Familiarity familiarity = Familiarity::Plain;
};

/// The upstreams of one service and what is known of them. All functions are safe to call from several threads.
class ServicePool {
public:
    struct Environment {
        Place place;
        const EntryVmView& entryVms;
        PlacementSettings settings;
    };

    ServicePool(Core::ServiceId service, Environment environment);

    /// Takes the upstreams that are listed now, and which failure domains are evacuated.
    auto update(const std::vector<UpstreamEntry>& entries, const EvacuatedDomains& evacuated, Core::Instant now)
        -> void;
    auto setSettings(const ServiceSettings& settings) -> void;
    /// Chooses an upstream and counts the request there; each choice needs an end().
    auto choose(const ChoiceQuery& query, Core::Instant now) -> ChoiceResult;
    auto end(const ExchangeReport& report, Core::Instant now) -> void;
    /// Upstreams whose health is to be asked now; each needs a recordProbe().
    auto takeDueProbes(Core::Instant now) -> std::vector<Ports::UpstreamTarget>;
    /// Returns whether the answer is news for other entry VMs.
    auto recordProbe(const Ports::UpstreamTarget& target, const Core::Result<Ports::HealthReport>& report,
        Core::Instant now) -> bool;
    /// Takes what another entry VM found by asking an upstream.
    auto learn(const UpstreamNotice& notice, Core::Instant now) -> void;
    /// While the list is stale, upstreams that were not heard for a while get one request at a time until they were
    /// asked: they may have started again.
    auto setListStale(bool isStale) -> void;
    /// A connection to the upstream ended without a request on it.
    auto recordEndedConnection(const Ports::UpstreamTarget& target) -> void;
    /// Any upstream may have started again unnoticed.
    auto doubtAll() -> void;
    [[nodiscard]] auto healthPath() const -> std::string;
    [[nodiscard]] auto service() const -> const Core::ServiceId& { return m_service; }
    /// The upstream has answered nothing for much longer than its work takes.
    [[nodiscard]] auto isSilent(const Ports::UpstreamTarget& target, Core::Instant now) -> bool;
    /// Time after which it is worth asking whether an upstream is silent.
    [[nodiscard]] auto silenceLimit() const -> Core::Duration;

private:
    /// Upstream that may serve a request, with what is predicted for it there.
    struct Candidate {
        UpstreamState* state = nullptr;
        /// Place of the upstream in the object's order.
        std::uint64_t score = 0;
        Familiarity familiarity = Familiarity::Plain;
        double occupancy = 0;
        Core::Duration wait {};
        Core::Duration work {};
        /// What the choice is made by: time to the answer, with distance and failures weighed in.
        Core::Duration cost {};
    };

    using Candidates = std::vector<Candidate>;

    auto chooseLocked(const ChoiceQuery& query, Core::Instant now) -> ChoiceResult;
    [[nodiscard]] auto candidatesFor(const ChoiceQuery& query, Core::Instant now) -> Candidates;
    [[nodiscard]] auto mayServe(const UpstreamState& state, const ChoiceQuery& query, Core::Instant now) const -> bool;
    auto predict(Candidate& candidate, Core::Instant now) const -> void;
    /// Moves the candidates that may be used for the object to the front: those that know it, by cost, after them those
    /// that it may be brought to, by cost. Returns the number of the first.
    [[nodiscard]] auto arrangeByObject(Candidates& candidates, const ObjectKey& object) const -> std::size_t;
    /// Whether the object belongs to upstreams of the own region. A region that has less than its share of the slots
    /// keeps a part of its objects only, the same one in all its entry VMs.
    [[nodiscard]] auto belongsHere(const Candidates& candidates, const ObjectKey& object) const -> bool;
    /// Puts a candidate that does not know the object first when that pays in the long run.
    auto considerReplica(Candidates& candidates, std::size_t known, const ChoiceQuery& query, Core::Instant now)
        -> void;
    [[nodiscard]] auto hasRoom(const Candidate& candidate, int priority, Core::Instant now) const -> bool;
    [[nodiscard]] auto isSilent(const UpstreamState& state, Core::Instant now) const -> bool;
    [[nodiscard]] auto silenceLimitLocked() const -> Core::Duration;
    [[nodiscard]] auto occupancy(const UpstreamState& state, Core::Instant now) const -> double;
    [[nodiscard]] auto waitAt(double occupancy, double slots) const -> Core::Duration;
    [[nodiscard]] auto distanceCost(const UpstreamEntry& entry) const -> Core::Duration;
    /// Asks an upstream whose connection ended: its process may have ended, and another may have its place.
    auto checkAfterLoss(UpstreamState& state) const -> void;
    /// Whether the upstream may have started again unnoticed.
    [[nodiscard]] auto isDoubtful(const UpstreamState& state, Core::Instant now) const -> bool;
    [[nodiscard]] auto stateOf(const Ports::UpstreamTarget& target) -> UpstreamState*;

    const Core::ServiceId m_service;
    const Environment m_environment;
    mutable std::mutex m_mutex;
    ServiceSettings m_settings;
    EvacuatedDomains m_evacuated;
    bool m_isListStale = false;
    /// Upstreams that left stay until their last exchange ends.
    std::map<Ports::UpstreamTarget, UpstreamState> m_states;
    WorkTime m_workTime;
    ReplicaPlanner m_planner;
    RankedRoom m_room;
    /// Moving mean of the load that other entry VMs put on an upstream, in requests for each slot.
    double m_othersPerSlot = 0;
};

} // namespace Forwarding
