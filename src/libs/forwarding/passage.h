#pragma once

#include "forwarding/forwarder.h"
#include "forwarding/requestaccount.h"

namespace Forwarding {

/// One request on its way: chooses upstreams for it, repeats it where that is safe, and gives its one reply.
class Passage : public OpenRequest, public std::enable_shared_from_this<Passage> {
public:
    Passage(Forwarder& forwarder, ForwardRequest request, ForwardCallback callback);

    auto start() -> void;
    auto abandon() -> void override;

private:
    /// One exchange with an upstream.
    struct Attempt {
        Choice choice;
        Core::Instant startedAt;
        std::shared_ptr<Ports::Exchange> exchange;
        bool hasEnded = false;
    };

    auto findRoute() -> bool;
    auto setDeadline(Core::Instant now) -> void;
    auto send() -> void;
    /// Number of the new attempt; none when nothing may be sent any more.
    auto openAttempt(const Choice& choice, Core::Instant now) -> std::optional<std::size_t>;
    auto startExchange(const Choice& choice, Core::Instant now) -> void;
    /// Gives a chosen upstream back that was sent nothing.
    auto releaseChoice(const Choice& choice, Core::Instant now) -> void;
    auto onResult(std::size_t index, const Ports::ExchangeResult& result) -> void;
    auto onSlow(std::size_t index) -> void;
    auto onDeadline() -> void;
    /// Sends once more if that is safe, allowed and of use; else gives the reply that says what is known.
    auto repeatOrGiveUp(const Ports::ExchangeResult& result) -> void;
    [[nodiscard]] auto mayRepeat(Core::Instant now) -> bool;
    auto reportEnd(const Attempt& attempt, const Ports::ExchangeResult& result, Core::Instant now) -> void;
    auto refuse(Core::RefusalReason reason, std::string message, Core::Duration wait) -> void;
    auto refuseChoice(const NoChoice& noChoice) -> void;
    auto finish(ForwardReply reply) -> void;
    auto cancelExchanges() -> void;
    [[nodiscard]] auto hasOpenExchange() const -> bool;
    [[nodiscard]] auto retryAfter(Core::Duration wait) const -> Core::Duration;

    Forwarder& m_forwarder;
    const Forwarder::Environment& m_environment;
    const ForwardRequest m_request;
    ForwardCallback m_callback;
    const Dispatch::RequestFingerprint m_fingerprint;
    RequestAccount m_account;
    const Core::Instant m_arrivedAt;
    Core::Instant m_deadline;
    std::shared_ptr<const RoutingConfiguration> m_configuration;
    RoutePointer m_route;
    Core::ServiceId m_service;
    std::shared_ptr<detail::ServiceDesk> m_desk;

    mutable std::mutex m_mutex;
    std::vector<Attempt> m_attempts;
    std::vector<Core::UpstreamId> m_tried;
    /// Sends that an upstream may have seen.
    std::atomic<std::uint32_t> m_sends { 0 };
    std::atomic<bool> m_mayHaveRun { false };
    bool m_isDone = false;
    /// Its time is over or its caller has gone: nothing is sent any more.
    bool m_isClosed = false;
    std::unique_ptr<Ports::Timer> m_deadlineTimer;
    std::unique_ptr<Ports::Timer> m_slowTimer;
};

} // namespace Forwarding
