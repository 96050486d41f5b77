#pragma once

#include "admission/waiter.h"
#include "forwarding/answerbody.h"
#include "forwarding/forwarder.h"
#include "forwarding/requestrecorder.h"

namespace Forwarding {

/// Forwards one request: chooses upstreams, retries where that is safe, and delivers exactly one reply. Its exchanges
/// with upstreams are in forwardoperationexchanges.cpp, how it waits for room in forwardoperationwaiting.cpp, and how
/// it passes a large answer on in forwardoperationanswer.cpp.
class ForwardOperation : public OpenRequest,
                         public Admission::Waiter,
                         public std::enable_shared_from_this<ForwardOperation> {
public:
    ForwardOperation(Forwarder& forwarder, ForwardRequest request, ForwardCallback callback);

    auto start() -> void;
    auto abandon() -> void override;

    [[nodiscard]] auto demand() const -> const Admission::Demand& override { return m_demand; }
    [[nodiscard]] auto hasLeft() const -> bool override;
    [[nodiscard]] auto roomExpected() const -> Core::Duration override { return m_roomExpected; }
    auto tryStart() -> bool override;
    auto turnAway(Admission::TurnAwayReason reason) -> void override;

private:
    /// One exchange with an upstream.
    struct Attempt {
        Choice choice;
        std::shared_ptr<Ports::Exchange> exchange;
        bool hasEnded = false;
        /// The head of a large answer has arrived, and its body is being delivered.
        bool isStreaming = false;
        bool isUpstreamError = false;
    };

    auto findRoute() -> bool;
    /// Finds the organisation of the caller. Refuses the request if its route requires one and there is none.
    auto identifyCaller() -> bool;
    /// Determines the regions that the route and the organisation both allow.
    auto restrictRegions() -> void;
    [[nodiscard]] auto urgency() const -> Admission::Urgency;
    [[nodiscard]] auto verifiedCaller() const -> std::optional<Ports::VerifiedCaller>;
    /// Takes a permit from the organisation's quota, and then sends the request.
    auto acquirePermit() -> void;
    auto onPermit(const Quotas::QuotaResult& result) -> void;
    auto setDeadline() -> void;
    /// Reserves memory for the answer. Refuses the request if there is too little.
    auto reserveBuffers() -> bool;
    /// Adapts the reservation, and later ones of the route, to the answer that has arrived.
    auto recordAnswerSize(Core::Bytes size) -> void;
    [[nodiscard]] auto hasCallerLeft() const -> bool { return m_request.caller && m_request.caller->isClosed(); }
    auto send() -> void;
    /// Lets the request wait for a slot if it can still be served by that, and refuses it otherwise.
    auto waitOrRefuse(const ChoiceFailure& failure, Core::Instant now) -> void;
    /// Determines until when the request can be started, given the time that it will take.
    auto estimateDemand(Core::Duration work) -> void;
    /// Returns the query for an upstream that is not among `tried`, which must outlive it.
    [[nodiscard]] auto makeQuery(const std::vector<Core::UpstreamId>& tried, Core::Instant now) const -> ChoiceQuery;
    /// Returns the index of the new attempt. Returns nullopt if the operation is closed, or if the attempt would hedge
    /// one that has ended.
    auto openAttempt(const Choice& choice, std::optional<std::size_t> hedged) -> std::optional<std::size_t>;
    /// `hedged` is the index of the attempt that stays open beside the new one, if there is one.
    auto startExchange(const Choice& choice, Core::Instant now, std::optional<std::size_t> hedged = std::nullopt)
        -> void;
    auto armResponseTimer(std::size_t index) -> void;
    /// Releases a chosen upstream to which nothing was sent.
    auto releaseChoice(const Choice& choice, Core::Instant now) -> void;
    /// Returns true if the request may still be written to the chosen upstream. Abandons it if the caller has left.
    [[nodiscard]] auto isStillWanted(const Ports::UpstreamTarget& target) -> bool;
    auto onResult(std::size_t index, const Ports::ExchangeResult& result) -> void;
    /// Handles the head of a large answer. It ends retries and hedges; the body is delivered behind it.
    auto onHead(std::size_t index, const Ports::ExchangeResult& result) -> void;
    auto onBodyEnd(std::size_t index, const BodyEnd& end) -> void;
    /// Ends the delivery of a large answer, if there is one. It reaches the caller as broken off.
    auto cancelBody() -> void;
    auto endStreaming(std::size_t index, const BodyEnd& end) -> void;
    auto onResponseTimeout(std::size_t index) -> void;
    /// Sends the request to another upstream too. The silent one may still answer, so its exchange stays open.
    auto hedge(std::size_t index, const Choice& silent, Core::Instant now) -> void;
    auto onDeadline() -> void;
    /// Retries the request if that is safe, allowed and still useful. Otherwise replies with what is known of the
    /// outcome.
    auto retryOrRefuse(const Ports::ExchangeResult& result) -> void;
    [[nodiscard]] auto mayRetry(Ports::ExchangeOutcome outcome, Core::Instant now) -> bool;
    /// Returns true if the route allows one more upstream.
    [[nodiscard]] auto hasAttemptsLeft() const -> bool;
    /// `readerTime` is the part of the time since the start that the caller took to read the answer.
    auto reportEnd(const Attempt& attempt, const Ports::ExchangeResult& result, Core::Instant now,
        Core::Duration readerTime = {}) -> void;
    auto refuse(Core::RefusalReason reason, std::string message, Core::Duration wait) -> void;
    auto refuseChoice(const ChoiceFailure& failure) -> void;
    /// Returns the time after which the caller should come back to a service without room; zero if it should not.
    [[nodiscard]] auto placeReturn(const ChoiceFailure& failure) -> Core::Duration;
    auto finishRefused(Core::RefusalReason reason, std::string message, Core::Duration retryAfter) -> void;
    /// Returns false if there was a reply before.
    auto finish(ForwardReply reply) -> bool;
    auto cancelExchanges() -> void;
    [[nodiscard]] auto hasOpenExchange() const -> bool;
    /// Returns the time that the caller has left, which may be longer than the route allows.
    [[nodiscard]] auto timeLeft() const -> Core::Duration;
    [[nodiscard]] auto retryAfter(Core::Duration wait) const -> Core::Duration;

    Forwarder& m_forwarder;
    const Forwarder::Environment& m_environment;
    const ForwardRequest m_request;
    ForwardCallback m_callback;
    const Dispatch::RequestFingerprint m_fingerprint;
    RequestRecorder m_recorder;
    const Core::Instant m_arrivedAt;
    Core::Instant m_deadline;
    /// Time since the caller first asked, before this request arrived.
    Core::Duration m_elapsed {};
    Admission::Demand m_demand;
    std::atomic<Core::Duration> m_roomExpected { Core::Duration(0) };
    ChoiceFailure m_lastFailure;
    std::shared_ptr<const RoutingConfiguration> m_configuration;
    RoutePointer m_route;
    /// Null if the caller is not identified.
    Organisations::OrganisationPointer m_organisation;
    /// Regions that may serve the request; none if all may.
    std::optional<std::vector<Core::RegionId>> m_regions;
    Core::ServiceId m_service;
    std::shared_ptr<detail::ServiceContext> m_context;

    mutable std::mutex m_mutex;
    std::vector<Attempt> m_attempts;
    std::vector<Core::UpstreamId> m_tried;
    /// Number of sends that may have reached an upstream.
    std::atomic<std::uint32_t> m_sends { 0 };
    std::atomic<bool> m_mayHaveRun { false };
    std::optional<Quotas::QuotaPermit> m_permit;
    /// Memory for the answer, until it has been delivered.
    std::optional<Core::BufferAccount::Reservation> m_buffers;
    bool m_isDone = false;
    /// An answer, or its head, was delivered.
    bool m_hasAnswer = false;
    /// Body of a large answer that is being delivered; null otherwise. It ends at the deadline.
    std::shared_ptr<Ports::BodyStream> m_body;
    /// Set when the deadline has passed or the caller has disconnected; nothing is sent afterwards.
    bool m_isClosed = false;
    std::unique_ptr<Ports::Timer> m_deadlineTimer;
    std::unique_ptr<Ports::Timer> m_responseTimer;
};

} // namespace Forwarding
