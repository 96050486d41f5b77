#pragma once

#include "admission/othersload.h"
#include "admission/queuebound.h"
#include "forwarding/placementsettings.h"
#include "forwarding/replicaplanner.h"
#include "forwarding/routeservicetimes.h"
#include "forwarding/routingconfiguration.h"
#include "forwarding/servicetimeestimator.h"
#include "forwarding/upstreamnotice.h"
#include "forwarding/upstreamstate.h"

#include <limits>
#include <mutex>

namespace Forwarding {

/// Location of this entry VM, from which distance penalties are computed.
struct Location {
    Core::FailureDomainId failureDomain;
    Core::RegionId region;
};

/// View of the other entry VMs that placement depends on.
class EntryVmView {
public:
    virtual ~EntryVmView() = default;
    /// Returns true if only this entry VM may send requests to the upstream while it is cold. A single owner enforces
    /// the upstream's limit across all entry VMs.
    [[nodiscard]] virtual auto isOwner(const UpstreamEntry& upstream) const -> bool = 0;
    /// Number of entry VMs of the region that accept callers, including this one; at least 1.
    [[nodiscard]] virtual auto regionalCount() const -> std::size_t = 0;
};

/// Attributes of a request that determine the choice of an upstream.
struct ChoiceQuery {
    Core::RequestId request;
    RouteId route;
    /// Empty if the request concerns no object.
    ObjectKey object;
    /// Regions that may serve the request; null allows all, empty none.
    const std::vector<Core::RegionId>* homes = nullptr;
    /// Upstreams that the request was already sent to.
    const std::vector<Core::UpstreamId>* tried = nullptr;
    Core::Duration timeLeft {};
    /// Answers within this time are worth the most.
    Core::Duration targetLatency {};
    Admission::Urgency urgency;
    /// The request is open at another upstream that has fallen silent. It is not turned away if there is no room.
    bool isHedge = false;
};

/// Chosen upstream, with the values that decided the choice.
struct Choice {
    Ports::UpstreamTarget target;
    Core::FailureDomainId failureDomain;
    CacheState cacheState = CacheState::NoObject;
    double occupancy = 0;
    Core::Duration predicted {};
    /// Time for which the request is expected to occupy a slot.
    Core::Duration serviceTime {};
    OpenExchange exchange;
};

enum class ChoiceFailureReason : std::uint8_t {
    /// No upstream of the service may currently serve the request.
    NoUpstream,
    /// No candidate has capacity for another request.
    Busy,
    /// The predicted answer would miss the deadline.
    DeadlineUnreachable,
};

[[nodiscard]] auto toString(ChoiceFailureReason reason) -> std::string;

struct ChoiceFailure {
    ChoiceFailureReason reason = ChoiceFailureReason::NoUpstream;
    /// Number of upstreams that were considered.
    std::size_t candidates = 0;
    /// Least time that a request would wait at an upstream.
    Core::Duration wait {};
    /// Time for which the request would occupy a slot.
    Core::Duration work {};
    /// Time after which the estimates show room if nothing is heard meanwhile; zero if that is not known.
    Core::Duration roomExpected {};
};

using ChoiceResult = tl::expected<Choice, ChoiceFailure>;

/// Result of one exchange with a chosen upstream.
struct ExchangeReport {
    Ports::UpstreamTarget target;
    /// As in the choice of the upstream.
    OpenExchange exchange;
    RouteId route;
    ObjectKey object;
    Ports::ExchangeOutcome outcome = Ports::ExchangeOutcome::Answered;
    bool isUpstreamError = false;
    bool reusedConnection = false;
    std::optional<Ports::ReportedLoad> load;
    Ports::UpstreamSignals signals;
    Core::Duration duration {};
    /// The answer's head was recorded by recordHead(); its body has ended now.
    bool isBodyEnd = false;
    CacheState cacheState = CacheState::NoObject;
};

/// Tracks the upstreams of one service and chooses one for each request. All functions are thread-safe.
class ServicePool {
public:
    struct Environment {
        Location location;
        const EntryVmView& entryVms;
        PlacementSettings settings;
    };

    ServicePool(Core::ServiceId service, Environment environment);

    /// Replaces the list of upstreams and the set of evacuated failure domains.
    auto update(const std::vector<UpstreamEntry>& entries, const EvacuatedDomains& evacuated, Core::Instant now)
        -> void;
    auto setSettings(const ServiceSettings& settings) -> void;
    /// Chooses an upstream and counts the request as in flight there. Each choice requires a call of endExchange().
    auto choose(const ChoiceQuery& query, Core::Instant now) -> ChoiceResult;
    /// Returns what the upstream said of itself that was not known before.
    auto endExchange(const ExchangeReport& report, Core::Instant now) -> Ports::UpstreamSignals;
    /// Records the head of a large answer. The request counts as in flight until endExchange(). Returns what the
    /// upstream said of itself that was not known before.
    auto recordHead(const ExchangeReport& report, Core::Instant now) -> Ports::UpstreamSignals;
    /// Returns upstreams that are due for a health check, at most `limit`, the most urgent ones first. Each requires a
    /// call of recordProbe().
    auto takeDueProbes(Core::Instant now, std::size_t limit = std::numeric_limits<std::size_t>::max())
        -> std::vector<Ports::UpstreamTarget>;
    /// Returns true if the result must be announced to the other entry VMs.
    auto recordProbe(const Ports::UpstreamTarget& target, const Core::Result<Ports::HealthReport>& report,
        Core::Instant now) -> bool;
    /// Applies another entry VM's probe result. Returns true if it was news.
    auto applyNotice(const UpstreamNotice& notice, Core::Instant now) -> bool;
    /// Sets whether the list of upstreams is stale. While it is, an upstream that has not answered for some time gets
    /// one request at a time until it has been probed, because it may have restarted.
    auto setListStale(bool isStale) -> void;
    /// Records that an idle connection to the upstream was closed.
    auto recordClosedConnection(const Ports::UpstreamTarget& target) -> void;
    /// Marks all upstreams as possibly restarted unnoticed.
    auto markAllUnverified() -> void;
    [[nodiscard]] auto healthPath() const -> std::string;
    [[nodiscard]] auto service() const -> const Core::ServiceId& { return m_service; }
    /// Returns true if the upstream has not answered for much longer than its usual service time.
    [[nodiscard]] auto isUnresponsive(const Ports::UpstreamTarget& target, Core::Instant now) -> bool;
    /// Returns true unless the upstream is leaving, has asked for a pause, or its failure domain is being evacuated.
    [[nodiscard]] auto acceptsRequests(const Ports::UpstreamTarget& target, Core::Instant now) -> bool;

private:
    /// Upstream that may serve the request, with the predictions for it.
    struct Candidate {
        UpstreamState* state = nullptr;
        /// Rendezvous score of the upstream for the object.
        std::uint64_t score = 0;
        CacheState cacheState = CacheState::NoObject;
        double occupancy = 0;
        Core::Duration wait {};
        Core::Duration serviceTime {};
        /// Value that the choice minimises: predicted response time plus the penalties for distance and failures.
        Core::Duration cost {};
    };

    using Candidates = std::vector<Candidate>;
    using States = std::map<Ports::UpstreamTarget, UpstreamState>;

    auto chooseLocked(const ChoiceQuery& query, Core::Instant now) -> ChoiceResult;
    [[nodiscard]] auto candidatesFor(const ChoiceQuery& query, const RouteServiceTime& routeTime, Core::Instant now)
        -> Candidates;
    [[nodiscard]] auto mayServe(const UpstreamState& state, const ChoiceQuery& query, Core::Instant now) const -> bool;
    auto predict(Candidate& candidate, const RouteServiceTime& routeTime, Core::Instant now) const -> void;
    /// Keeps only the candidates that may serve the object: first those that have it cached, then those that it may be
    /// replicated to, each group sorted by cost. Returns the size of the first group.
    [[nodiscard]] auto orderByAffinity(Candidates& candidates, const ObjectKey& object) const -> std::size_t;
    /// Returns true if the object is assigned to upstreams of the local region. A region with less than its fair share
    /// of the slots keeps only some of its objects, the same ones in all of its entry VMs.
    [[nodiscard]] auto belongsToLocalRegion(const Candidates& candidates, const ObjectKey& object) const -> bool;
    /// Moves the best candidate that does not have the object cached to the front if a replica there pays off over
    /// time.
    auto considerReplica(Candidates& candidates, std::size_t warmCount, const ChoiceQuery& query, Core::Instant now)
        -> void;
    /// Returns true if the candidate is predicted to answer in time, or if the prediction is due for a trial.
    [[nodiscard]] static auto fits(
        const Candidate& candidate, const ChoiceQuery& query, RouteServiceTime& routeTime, Core::Instant now) -> bool;
    [[nodiscard]] auto hasCapacity(
        const Candidate& candidate, const Admission::Urgency& urgency, Core::Instant now) const -> bool;
    /// Returns the number of requests per slot that may queue at an upstream.
    [[nodiscard]] auto waitingPerSlot(const Admission::Urgency& urgency, Core::Instant now) const -> double;
    /// Returns the time after which the best candidate is expected to have room.
    [[nodiscard]] auto roomExpected(
        const Candidates& candidates, const Admission::Urgency& urgency, Core::Instant now) const -> Core::Duration;
    [[nodiscard]] auto occupancy(const UpstreamState& state, Core::Instant now) const -> double;
    [[nodiscard]] auto waitAt(double occupancy, double slots) const -> Core::Duration;
    [[nodiscard]] auto distanceCost(const UpstreamEntry& entry) const -> Core::Duration;
    auto applySignals(UpstreamState& state, const ExchangeReport& report, Core::Instant now) -> Ports::UpstreamSignals;
    /// Applies what the upstream has said of itself to its later incarnations: the answer may be from the newest one.
    auto passSignalsOn(const UpstreamState& state, Core::Instant now) -> void;
    /// Requests a probe of an upstream whose connection was lost: its process may have ended or been replaced by
    /// another.
    auto probeAfterConnectionLoss(UpstreamState& state) const -> void;
    /// Returns true if the upstream may have restarted unnoticed.
    [[nodiscard]] auto isUnverified(const UpstreamState& state, Core::Instant now) const -> bool;
    /// Returns the time until the first of the upstreams that have asked for a pause accepts requests again, or zero if
    /// there are none.
    [[nodiscard]] auto shortestPause(const ChoiceQuery& query, Core::Instant now) const -> Core::Duration;
    /// Returns the time until the first upstream that is excluded for a moment may be used again, or zero if none is.
    [[nodiscard]] auto firstUsable(const ChoiceQuery& query, Core::Instant now) const -> Core::Duration;
    /// Returns the position from which on the incarnations of the upstream stand, in the order of their starts.
    [[nodiscard]] auto firstIncarnation(const Core::UpstreamId& id) -> States::iterator;
    [[nodiscard]] auto findState(const Ports::UpstreamTarget& target) -> UpstreamState*;

    const Core::ServiceId m_service;
    const Environment m_environment;
    mutable std::mutex m_mutex;
    ServiceSettings m_settings;
    EvacuatedDomains m_evacuated;
    bool m_isListStale = false;
    /// Includes upstreams that are no longer listed until their last exchange ends.
    States m_states;
    /// Time over all routes, which decides how long a queue takes and what a replica costs.
    ServiceTimeEstimator m_serviceTime;
    RouteServiceTimes m_routeTimes;
    ReplicaPlanner m_planner;
    Admission::QueueBound m_queueBound;
    Admission::OthersLoad m_othersLoad;
};

} // namespace Forwarding
