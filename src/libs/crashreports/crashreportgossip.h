#pragma once

#include "crashreports/crashreportsender.h"
#include "dispatch/crashreportpublisher.h"
#include "fleet/fleetholder.h"
#include "membership/membershipview.h"
#include "ports/clock.h"
#include "ports/randomsource.h"

namespace CrashReports {

/// Disseminates crash reports over the fleet by gossip: each entry VM that receives a new report forwards it to some
/// others. In a small fleet the report is sent to all entry VMs directly, so that a caller that retries the request
/// finds it quarantined everywhere.
class CrashReportGossip : public Dispatch::CrashReportPublisher {
public:
    struct Dependencies {
        const Ports::Clock& clock;
        Ports::RandomSource& random;
        const Membership::MembershipView& members;
        /// Lists all entry VMs, whereas membership contains only some of those of other failure domains.
        const Fleet::FleetSource& fleet;
        CrashReportSender& sender;
        Dispatch::CrashReportExchange& quarantine;
    };

    CrashReportGossip(Dependencies dependencies, Core::EntryVmId self);

    auto publish(const Dispatch::CrashReport& crashReport, std::function<void()> done) -> void override;
    /// Merges a crash report from another entry VM, and forwards it if it contains anything new.
    auto accept(const Dispatch::CrashReport& crashReport) -> void;

private:
    auto chooseTargets() -> std::vector<Fleet::EntryVm>;

    Dependencies m_dependencies;
    Core::EntryVmId m_self;
};

} // namespace CrashReports
