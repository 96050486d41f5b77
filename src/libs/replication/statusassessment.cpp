#include "replication/statusassessment.h"

#include <algorithm>

namespace Replication {

namespace {

    /// Maximum age of a confirmation or report that counts as current.
    constexpr Core::Millis freshnessLimit { 10'000 };

    auto seconds(Core::Duration age) -> std::string
    {
        return std::to_string(std::chrono::duration_cast<std::chrono::seconds>(age).count()) + " s";
    }

    auto versionText(Core::Version version) -> std::string { return std::to_string(version.value()); }

    auto reasonFor(const Membership::DomainReport& report, Core::Version newest, const ObjectReplica::Refusal& refused)
        -> std::string
    {
        if (report.reportAge > freshnessLimit)
            return "no contact with this failure domain for " + seconds(report.reportAge);
        if (report.highest.value() == 0)
            return "no version is in force in this failure domain";
        if (report.lowest != report.highest)
            return "some members still have version " + versionText(report.lowest);
        if (report.highest < newest)
            return "version " + versionText(newest) + " is in force in another failure domain but not in this one";
        if (refused.version > report.highest)
            return "version " + versionText(refused.version) + " in the store is refused: " + refused.reason;
        if (report.confirmedAge == Core::Duration::max())
            return "the store has not confirmed the version to this failure domain";
        if (report.confirmedAge > freshnessLimit)
            return "the store has not confirmed the version for " + seconds(report.confirmedAge);
        return {};
    }

} // namespace

auto assessDomain(const Membership::DomainReport& report, const std::vector<Membership::DomainReport>& all,
    const ObjectReplica::Refusal& refused) -> DomainStatus
{
    Core::Version newest;
    for (const auto& other : all)
        newest = std::max(newest, other.highest);
    DomainStatus status;
    status.failureDomain = report.failureDomain;
    status.lowest = report.lowest;
    status.highest = report.highest;
    status.reportAge = report.reportAge;
    if (report.confirmedAge != Core::Duration::max())
        status.confirmedAge = report.confirmedAge;
    status.reason = reasonFor(report, newest, refused);
    status.isConfirmed = status.reason.empty();
    return status;
}

} // namespace Replication
