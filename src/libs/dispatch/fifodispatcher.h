#pragma once

#include "core/sharded.h"
#include "dispatch/dispatcher.h"
#include "fleet/fleetholder.h"
#include "ports/clock.h"
#include "ports/upstreamclient.h"

#include <deque>
#include <map>

namespace Dispatch {

/// Dispatches the requests of each service in order of arrival to the least busy upstream of this entry VM's failure
/// domain. Serves as the baseline that other policies are measured against.
class FifoDispatcher : public Dispatcher {
public:
    struct Dependencies {
        const ::Ports::Clock& clock;
        ::Ports::UpstreamClient& upstreams;
        const Fleet::FleetSource& fleet;
    };

    FifoDispatcher(Dependencies dependencies, Core::FailureDomainId failureDomain);

    auto dispatch(Core::ServiceRequest request, const Configuration::ServicePolicy& policy,
        Core::ReplyCallback callback) -> void override;

private:
    struct QueuedRequest {
        Core::ServiceRequest request;
        Configuration::ServicePolicy policy;
        Core::ReplyCallback callback;
    };
    struct ServiceState {
        std::deque<QueuedRequest> queue;
        std::map<Core::UpstreamId, std::uint32_t> busy;
    };
    struct State {
        std::map<Core::ServiceId, ServiceState> services;
    };
    struct Assignment {
        QueuedRequest queued;
        Fleet::Upstream upstream;
    };

    auto startQueuedRequests(const Core::ServiceId& service) -> void;
    auto takeAssignments(ServiceState& state, const Core::ServiceId& service) -> std::vector<Assignment>;
    auto start(Assignment assignment) -> void;
    auto finish(const Core::ServiceId& service, const Core::UpstreamId& upstream) -> void;

    Dependencies m_dependencies;
    Core::FailureDomainId m_failureDomain;
    Core::Sharded<State> m_state;
};

/// Converts the result of an upstream call to the reply for the caller.
auto replyFor(Ports::UpstreamResult result) -> Core::Reply;

} // namespace Dispatch
