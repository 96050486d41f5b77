#pragma once

#include "core/sharded.h"
#include "dispatch/dispatcher.h"
#include "fleet/fleetholder.h"
#include "ports/clock.h"
#include "ports/upstreamclient.h"

#include <deque>
#include <map>

namespace Dispatch {

/// First-in first-out queue for each service, in front of the least busy upstream of the own failure domain.
/// The baseline that other policies are measured against.
class FifoDispatcher : public Dispatcher {
public:
    struct Ports {
        const ::Ports::Clock& clock;
        ::Ports::UpstreamClient& upstreams;
        const Fleet::FleetSource& fleet;
    };

    FifoDispatcher(Ports ports, Core::FailureDomainId failureDomain);

    auto dispatch(Core::ServiceRequest request, const Configuration::ServicePolicy& policy,
        Core::ReplyCallback callback) -> void override;

private:
    struct Waiting {
        Core::ServiceRequest request;
        Configuration::ServicePolicy policy;
        Core::ReplyCallback callback;
    };
    struct ServiceState {
        std::deque<Waiting> queue;
        std::map<Core::UpstreamId, std::uint32_t> busy;
    };
    struct State {
        std::map<Core::ServiceId, ServiceState> services;
    };
    struct Assignment {
        Waiting waiting;
        Fleet::Upstream upstream;
    };

    auto startWaiting(const Core::ServiceId& service) -> void;
    auto takeAssignments(ServiceState& state, const Core::ServiceId& service) -> std::vector<Assignment>;
    auto start(Assignment assignment) -> void;
    auto finish(const Core::ServiceId& service, const Core::UpstreamId& upstream) -> void;

    Ports m_ports;
    Core::FailureDomainId m_failureDomain;
    Core::Sharded<State> m_state;
};

/// Translates the result of an upstream call into the reply that the caller gets.
auto replyFor(Ports::UpstreamResult result) -> Core::Reply;

} // namespace Dispatch
