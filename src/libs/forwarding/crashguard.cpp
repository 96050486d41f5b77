#include "forwarding/crashguard.h"

namespace Forwarding {

CrashGuard::CrashGuard(Environment environment)
    : m_environment(environment)
{
}

auto CrashGuard::setCrashReportCallback(CrashReportCallback callback) -> void
{
    m_crashReportCallback = std::move(callback);
}

auto CrashGuard::isQuarantined(const Dispatch::RequestFingerprint& request) const -> bool
{
    return m_quarantine.isQuarantined(request, m_environment.clock.now());
}

auto CrashGuard::recordAnswer(const Dispatch::RequestFingerprint& request) -> void { m_quarantine.clear(request); }

auto CrashGuard::recordLoss(const Dispatch::RequestFingerprint& request, const Ports::UpstreamTarget& target,
    const std::string& healthPath) -> void
{
    m_environment.exchanges.probeHealth(
        target, healthPath, [this, request, target](const Core::Result<Ports::HealthReport>& report) {
            const bool isOwnFailure = !report && report.error().kind == Core::ErrorKind::Internal;
            if (!report && !isOwnFailure)
                reportCrash({ request, { target.id } });
        });
}

auto CrashGuard::reportCrash(const Dispatch::CrashReport& crashReport) -> void
{
    if (!m_quarantine.merge({ crashReport }, m_environment.clock.now()))
        return;
    record("request-content.suspected", crashReport);
    if (m_crashReportCallback)
        m_crashReportCallback(crashReport);
}

auto CrashGuard::accept(const Dispatch::CrashReport& crashReport) -> void
{
    if (m_quarantine.merge({ crashReport }, m_environment.clock.now()))
        record("request-content.told", crashReport);
}

auto CrashGuard::record(const char* kind, const Dispatch::CrashReport& crashReport) const -> void
{
    m_environment.events.record({ Ports::EventKind(kind), {},
        { { "fingerprint", std::to_string(crashReport.fingerprint.high) },
            { "upstream", crashReport.upstreams.begin()->value() },
            { "refused", isQuarantined(crashReport.fingerprint) ? "yes" : "no" } } });
}

auto fingerprintOf(const ForwardRequest& request) -> Dispatch::RequestFingerprint
{
    Core::ServiceRequest content;
    content.service = Core::ServiceId(request.host);
    content.operation = request.path;
    content.body = request.object.value();
    return Dispatch::fingerprintOf(content);
}

} // namespace Forwarding
