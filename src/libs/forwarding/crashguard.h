#pragma once

#include "dispatch/requestquarantine.h"
#include "forwarding/forwardrequest.h"
#include "ports/clock.h"
#include "ports/eventsink.h"

namespace Forwarding {

/// Refuses requests that crash the upstreams that run them. A lost answer alone does not make a request suspect: the
/// upstream must be unreachable right after it as well.
class CrashGuard {
public:
    using Announce = std::function<void(const Dispatch::CrashSuspicion&)>;

    struct Environment {
        const Ports::Clock& clock;
        Ports::EventSink& events;
        Ports::ExchangeClient& exchanges;
    };

    explicit CrashGuard(Environment environment);

    /// Called with each new suspicion, for the other entry VMs.
    auto setAnnounce(Announce announce) -> void;
    [[nodiscard]] auto isRefused(const Dispatch::RequestFingerprint& request) const -> bool;
    auto recordAnswer(const Dispatch::RequestFingerprint& request) -> void;
    /// The upstream's answer was lost while it may have run the request.
    auto recordLoss(const Dispatch::RequestFingerprint& request, const Ports::UpstreamTarget& target,
        const std::string& healthPath) -> void;
    /// Takes what another entry VM saw.
    auto accept(const Dispatch::CrashSuspicion& suspicion) -> void;

private:
    auto suspect(const Dispatch::CrashSuspicion& suspicion) -> void;

    const Environment m_environment;
    Announce m_announce;
    Dispatch::RequestQuarantine m_quarantine;
};

/// Same result in every entry VM for a request with the same host, path and object.
auto fingerprintOf(const ForwardRequest& request) -> Dispatch::RequestFingerprint;

} // namespace Forwarding
