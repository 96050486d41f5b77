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

auto CrashGuard::recordAnswer(const Dispatch::RequestFingerprint& request) -> void
{
    m_quarantine.clear(request, m_environment.clock.now());
}

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
    (void)merge({ crashReport }, m_environment.clock.now());
}

auto CrashGuard::summary(Core::Instant now) const -> Dispatch::QuarantineSummary { return m_quarantine.summary(now); }

auto CrashGuard::quarantined(const std::optional<Dispatch::RequestFingerprint>& after, std::size_t limit,
    Core::Instant now) const -> std::vector<Dispatch::CrashReport>
{
    return m_quarantine.quarantined(after, limit, now);
}

auto CrashGuard::merge(const std::vector<Dispatch::CrashReport>& crashReports, Core::Instant now) -> bool
{
    bool isNew = false;
    for (const auto& crashReport : crashReports) {
        if (!m_quarantine.merge({ crashReport }, now))
            continue;
        record("request-content.told", crashReport);
        isNew = true;
    }
    return isNew;
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
