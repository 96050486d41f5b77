#pragma once

#include "dispatch/dispatcher.h"
#include "fleet/fleetholder.h"
#include "ports/upstreamclient.h"
#include "support/virtualtime.h"

#include <map>
#include <memory>
#include <random>

namespace PolicyBench {

/// Sends each request immediately, without ranks, floors or early refusal, so that requests queue at the upstreams.
/// Subclasses choose the upstream.
class BaselineDispatcher : public Dispatch::Dispatcher {
public:
    struct Dependencies {
        TestSupport::VirtualTime& time;
        Ports::UpstreamClient& upstreams;
        const Fleet::FleetSource& fleet;
    };

    explicit BaselineDispatcher(Dependencies dependencies);

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

    Dependencies m_dependencies;
    std::map<Core::UpstreamId, std::uint32_t> m_outstanding;
};

/// Chooses a random upstream, whose queue is first in, first out, and retries until the deadline.
class RandomDispatcher : public BaselineDispatcher {
public:
    RandomDispatcher(Dependencies dependencies, std::uint64_t seed);

protected:
    auto choose(const Candidates& candidates) -> const Fleet::Upstream* override;
    [[nodiscard]] auto mayRetry(std::uint32_t attempts) const -> bool override;

private:
    std::mt19937_64 m_random;
};

/// Chooses the upstream with the fewest outstanding requests, and retries up to twice.
class LeastOutstandingDispatcher : public BaselineDispatcher {
public:
    using BaselineDispatcher::BaselineDispatcher;

protected:
    auto choose(const Candidates& candidates) -> const Fleet::Upstream* override;
    [[nodiscard]] auto mayRetry(std::uint32_t attempts) const -> bool override;
};

} // namespace PolicyBench
