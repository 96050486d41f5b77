#pragma once

#include "fakes/forwarding/requestbook.h"
#include "fakes/virtualworld.h"
#include "forwarding/upstreamlist.h"

#include <memory>

namespace Fakes {

/// Bounds that the field checks for each arrival.
struct FieldBounds {
    /// Time after an upstream's leaving was acknowledged in which it may still get requests.
    Core::Millis drain { 2500 };
    Core::Millis evacuation { 5000 };
    /// Requests a second that a cold upstream can take, and what is allowed beyond.
    double coldRate = 4;
    double coldOvershoot = 1.5;
    double coldSlack = 5;
};

/// Chances of each fault for one request.
struct FieldFaults {
    double refused = 0;
    double lostBeforeRun = 0;
    double answerLost = 0;
    double silent = 0;
    double brokenAnswer = 0;
};

/// Upstreams in virtual time: starts that come and go at addresses, and what reaches them.
class UpstreamField {
public:
    using IsInTouch = std::function<bool(const NodeId& vm)>;

    UpstreamField(VirtualWorld& world, RequestBook& book, IsInTouch isInTouch);

    auto add(const Forwarding::UpstreamEntry& entry, Core::Duration coldTime) -> void;
    /// Ends the upstream; what runs there is lost.
    auto end(const Core::UpstreamId& id) -> void;
    /// The store has acknowledged that the upstream leaves.
    auto retire(const Core::UpstreamId& id) -> void;
    auto setEvacuated(const Core::FailureDomainId& domain, bool isEvacuated) -> void;
    auto setFaults(FieldFaults faults) -> void { m_faults = faults; }
    [[nodiscard]] auto isUp(const Core::UpstreamId& id) const -> bool { return m_upstreams.contains(id); }
    [[nodiscard]] auto entry(const Core::UpstreamId& id) const -> const Forwarding::UpstreamEntry&;
    [[nodiscard]] auto coldLeft(const Core::UpstreamId& id) const -> Core::Duration;
    [[nodiscard]] auto bounds() const -> const FieldBounds& { return m_bounds; }

private:
    friend class FieldClient;

    struct Job;
    using JobPointer = std::shared_ptr<Job>;

    struct ColdArrival {
        Core::Instant at;
        NodeId vm;
    };

    struct Upstream {
        Forwarding::UpstreamEntry entry;
        Core::Instant coldUntil;
        std::optional<Core::Instant> retiredAt;
        std::vector<JobPointer> jobs;
        std::deque<ColdArrival> coldArrivals;
    };

    auto arrive(const JobPointer& job) -> void;
    auto checkArrival(Upstream& upstream, const Job& job) -> void;
    auto checkCold(Upstream& upstream, const Job& job) -> void;
    auto run(Upstream& upstream, const JobPointer& job) -> void;
    auto finishRun(const Core::UpstreamId& id, const JobPointer& job) -> void;
    auto reply(const JobPointer& job, Ports::ExchangeResult result) -> void;
    [[nodiscard]] auto at(const Core::Address& address) -> Upstream*;
    [[nodiscard]] auto loadOf(const Upstream& upstream) const -> Ports::ReportedLoad;

    VirtualWorld& m_world;
    RequestBook& m_book;
    const IsInTouch m_isInTouch;
    const FieldBounds m_bounds;
    FieldFaults m_faults;
    std::map<Core::UpstreamId, Upstream> m_upstreams;
    std::map<Core::FailureDomainId, Core::Instant> m_evacuatedAt;
};

/// The field as one VM's process reaches it.
class FieldClient : public Ports::ExchangeClient {
public:
    FieldClient(UpstreamField& field, NodeId vm)
        : m_field(field)
        , m_vm(std::move(vm))
    {
    }

    auto start(Ports::ExchangeCall call, ResultCallback callback) -> std::shared_ptr<Ports::Exchange> override;
    auto askHealth(const Ports::UpstreamTarget& target, const std::string& path, HealthCallback callback)
        -> void override;

private:
    /// Tells of a kept connection that ended with the process at its other end.
    auto noticeEndedConnection(const Ports::ExchangeCall& call) -> void;

    UpstreamField& m_field;
    const NodeId m_vm;
    const std::shared_ptr<bool> m_life = std::make_shared<bool>(true);
    /// Start of each upstream to which a connection is kept, and until when.
    struct KeptConnection {
        Core::StartMark start;
        Core::Instant until;
    };
    std::map<Core::UpstreamId, KeptConnection> m_kept;
};

} // namespace Fakes
