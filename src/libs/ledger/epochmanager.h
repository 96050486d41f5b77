#pragma once

#include "fleet/fleetholder.h"
#include "ledger/bookingexecutor.h"
#include "ledger/homerecords.h"
#include "ledger/peerports.h"
#include "membership/membershipview.h"
#include "ports/clock.h"
#include "ports/eventsink.h"
#include "ports/scheduler.h"

#include <deque>
#include <memory>
#include <mutex>

namespace Ledger {

/// Identity of this entry VM as the home and the backup of keys.
struct HomeIdentity {
    Core::EntryVmId vm;
    Core::Incarnation incarnation;
    Core::FailureDomainId failureDomain;
    Core::RegionId region;
};

/// Opens and closes the epochs of this incarnation and chooses the backup of each epoch.
class EpochManager : public KeyPrefixSource {
public:
    struct Dependencies {
        const Ports::Clock& clock;
        Ports::Scheduler& scheduler;
        const Membership::MembershipView& members;
        Ports::EventSink& events;
        HomeRecords& records;
        /// Source of the backup candidates, since the membership view contains only a few members of other failure
        /// domains.
        const Fleet::FleetSource& fleet;
        BackupPort& backups;
    };

    EpochManager(Dependencies dependencies, HomeIdentity identity, const LedgerLimits& limits);

    /// Opens the first epoch and starts to call refresh() at each refresh interval.
    auto start() -> void;
    /// Opens, closes and drops epochs according to their age, the health of the backup and the ledger's budget.
    auto refresh() -> void;
    /// Closes the epoch immediately and opens the next one, because its backup failed or the ledger is full.
    auto abandon(Core::Epoch epoch, const std::string& reason) -> void;
    /// Closes all epochs permanently for a planned stop.
    auto stop() -> void;

    [[nodiscard]] auto currentPrefix() const -> std::string override;
    [[nodiscard]] auto currentPrefix(bool needsBackup) const -> std::string override;

private:
    struct EpochState {
        Core::KeyPrefix prefix;
        Core::Instant opened;
        /// Set once a later epoch has replaced this one in look-up answers.
        std::optional<Core::Instant> replaced;
        std::optional<Core::Instant> closed;
    };
    struct Backup {
        Core::EntryVmId vm;
        /// Zero if unknown.
        Core::Incarnation incarnation;
        bool isInOwnRegion = false;
        bool hasFailed = false;
        std::uint64_t weight = 0;
    };
    struct ClosedEpoch {
        Core::Epoch epoch;
        std::string reason;
    };

    auto schedule() -> void;
    /// Returns the candidates in other failure domains in order of preference: members of the same region first, and
    /// a candidate that failed recently last.
    auto candidates() const -> std::vector<Backup>;
    auto incarnationOf(const Core::EntryVmId& vm) const -> std::optional<Core::Incarnation>;
    /// Returns the first candidate with a known incarnation. Requests the incarnation of the first candidate if it is
    /// unknown.
    auto chooseBackup() -> Backup;
    auto fetchIncarnation(const Core::EntryVmId& vm) -> void;
    auto isBackupLost(const Core::KeyPrefix& prefix) const -> bool;
    auto closeExpired(Core::Instant now, bool isCurrentBackupLost) -> std::vector<ClosedEpoch>;
    auto needsNewEpoch(Core::Instant now, const Backup& candidate) const -> bool;
    auto openNewEpoch(const Backup& backup) -> Core::KeyPrefix;
    auto dropExpired(Core::Instant now) -> void;
    auto recordClosedEpochs(const std::vector<ClosedEpoch>& closedEpochs) -> void;
    auto current() const -> const EpochState*;

    Dependencies m_dependencies;
    const HomeIdentity m_identity;
    const LedgerLimits m_limits;
    mutable std::mutex m_mutex;
    std::deque<EpochState> m_epochs;
    Core::Epoch m_lastEpoch;
    /// Chosen again only if there is no other candidate.
    Core::EntryVmId m_failedBackup;
    std::map<Core::EntryVmId, Core::Incarnation> m_fetchedIncarnations;
    bool m_isFetchingIncarnation = false;
    bool m_isStopped = false;
    std::unique_ptr<Ports::Timer> m_timer;
};

} // namespace Ledger
