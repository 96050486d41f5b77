#pragma once

#include "dispatch/requestquarantine.h"
#include "forwarding/forwardrequest.h"
#include "ports/clock.h"
#include "ports/eventsink.h"

namespace Forwarding {

/// Refuses requests that crash upstreams. A lost answer alone is not evidence of a crash: the upstream must also be
/// unreachable immediately afterwards.
class CrashGuard : public Dispatch::CrashReportExchange {
public:
    using CrashReportCallback = std::function<void(const Dispatch::CrashReport&)>;

    struct Environment {
        const Ports::Clock& clock;
        Ports::EventSink& events;
        Ports::ExchangeClient& exchanges;
    };

    explicit CrashGuard(Environment environment);

    /// Sets the callback that receives each new crash report for the other entry VMs.
    auto setCrashReportCallback(CrashReportCallback callback) -> void;
    [[nodiscard]] auto isQuarantined(const Dispatch::RequestFingerprint& request) const -> bool;
    auto recordAnswer(const Dispatch::RequestFingerprint& request) -> void;
    /// Probes an upstream that may have run the request and whose answer was lost. Reports a crash if the probe fails.
    auto recordLoss(const Dispatch::RequestFingerprint& request, const Ports::UpstreamTarget& target,
        const std::string& healthPath) -> void;
    /// Merges another entry VM's crash report.
    auto accept(const Dispatch::CrashReport& crashReport) -> void;

    [[nodiscard]] auto summary(Core::Instant now) const -> Dispatch::QuarantineSummary override;
    [[nodiscard]] auto quarantined(const std::optional<Dispatch::RequestFingerprint>& after, std::size_t limit,
        Core::Instant now) const -> std::vector<Dispatch::CrashReport> override;
    auto merge(const std::vector<Dispatch::CrashReport>& crashReports, Core::Instant now) -> bool override;

private:
    auto reportCrash(const Dispatch::CrashReport& crashReport) -> void;
    auto record(const char* kind, const Dispatch::CrashReport& crashReport) const -> void;

    const Environment m_environment;
    CrashReportCallback m_crashReportCallback;
    Dispatch::RequestQuarantine m_quarantine;
};

/// Returns a fingerprint that is the same in all entry VMs for requests with the same host, path and object.
auto fingerprintOf(const ForwardRequest& request) -> Dispatch::RequestFingerprint;

} // namespace Forwarding
