#pragma once

#include "dispatch/dispatcher.h"
#include "fleet/fleetholder.h"
#include "ports/upstreamclient.h"
#include "support/virtualtime.h"

#include <map>
#include <memory>
#include <random>

namespace PolicyBench {

/// Sends each request at once, without ranks, floors or early refusal; the upstreams queue. Subclasses choose the
/// upstream.
class BaselineDispatcher : public Dispatch::Dispatcher {
public:
    struct Collaborators {
        TestSupport::VirtualTime& time;
        Ports::UpstreamClient& upstreams;
        const Fleet::FleetSource& fleet;
    };

    explicit BaselineDispatcher(Collaborators collaborators);

    auto dispatch(Core::ServiceRequest request, const Configuration::ServicePolicy& policy,
        Core::ReplyCallback callback) -> void override;

protected:
    using Candidates = std::vector<const Fleet::Upstream*>;

    virtual auto choose(const Candidates& candidates) -> const Fleet::Upstream* = 0;
    [[nodiscard]] virtual auto mayRetry(std::uint32_t attempts) const -> bool = 0;
    [[nodiscard]] auto outstanding(const Core::UpstreamId& upstream) const -> std::uint32_t;

private:
    struct Pending {
        Core::ServiceRequest request;
        Configuration::ServicePolicy policy;
        Core::ReplyCallback callback;
        Core::Duration retryDelay {};
        std::uint32_t attempts = 0;
        bool mayHaveRun = false;
    };
    using PendingPointer = std::shared_ptr<Pending>;

    auto attempt(const PendingPointer& pending) -> void;
    auto finish(const PendingPointer& pending, Ports::UpstreamResult result) -> void;

    Collaborators m_collaborators;
    std::map<Core::UpstreamId, std::uint32_t> m_outstanding;
};

/// Random upstream with a first-in first-out queue, and retries until the deadline.
class RandomDispatcher : public BaselineDispatcher {
public:
    RandomDispatcher(Collaborators collaborators, std::uint64_t seed);

protected:
    auto choose(const Candidates& candidates) -> const Fleet::Upstream* override;
    [[nodiscard]] auto mayRetry(std::uint32_t attempts) const -> bool override;

private:
    std::mt19937_64 m_random;
};

/// Upstream with the fewest outstanding requests, and up to two retries.
class LeastOutstandingDispatcher : public BaselineDispatcher {
public:
    using BaselineDispatcher::BaselineDispatcher;

protected:
    auto choose(const Candidates& candidates) -> const Fleet::Upstream* override;
    [[nodiscard]] auto mayRetry(std::uint32_t attempts) const -> bool override;
};

} // namespace PolicyBench
