#pragma once

#include "fleet/fleetholder.h"
#include "ledger/bookinggate.h"
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

/// This entry VM as the home and the backup of keys.
struct HomeIdentity {
    Core::EntryVmId vm;
    Core::Incarnation incarnation;
    Core::FailureDomainId failureDomain;
    Core::RegionId region;
};

/// Opens and closes the epochs of the own incarnation, and chooses the backup of each.
class EpochManager : public KeyPrefixSource {
public:
    struct Collaborators {
        const Ports::Clock& clock;
        Ports::Scheduler& scheduler;
        const Membership::MembershipView& members;
        Ports::EventSink& events;
        HomeRecords& records;
        /// Names the candidates: the members view knows only a few of other failure domains.
        const Fleet::FleetSource& fleet;
        BackupPort& backups;
    };

    EpochManager(Collaborators collaborators, HomeIdentity identity, const LedgerLimits& limits);

    /// Opens the first epoch and checks the epochs at each refresh interval from then on.
    auto start() -> void;
    /// Opens, closes and drops epochs as their age, the members and the room demand.
    auto refresh() -> void;
    /// Closes the epoch at once, and opens the next, when its backup failed or the ledger is full.
    auto abandon(Core::Epoch epoch, const std::string& reason) -> void;
    /// Closes all epochs for good, for a planned stop.
    auto stop() -> void;

    [[nodiscard]] auto currentPrefix() const -> std::string override;
    [[nodiscard]] auto currentPrefix(bool needsBackup) const -> std::string override;

private:
    struct OpenEpoch {
        Core::KeyPrefix prefix;
        Core::Instant opened;
        /// Set when a later epoch has replaced this one in look-up answers.
        std::optional<Core::Instant> replaced;
        std::optional<Core::Instant> closed;
    };
    struct Backup {
        Core::EntryVmId vm;
        /// Zero while it is not known.
        Core::Incarnation incarnation;
        bool isInOwnRegion = false;
        bool hasFailed = false;
        std::uint64_t weight = 0;
    };
    struct Closing {
        Core::Epoch epoch;
        std::string reason;
    };

    auto schedule() -> void;
    /// Candidates in other failure domains, the preferred one first: those of the own region go first.
    /// One that failed lately goes last.
    auto candidates() const -> std::vector<Backup>;
    auto incarnationOf(const Core::EntryVmId& vm) const -> std::optional<Core::Incarnation>;
    /// The preferred candidate whose incarnation is known; asks for the incarnation of one that is preferred to it.
    auto chooseBackup() -> Backup;
    auto introduce(const Core::EntryVmId& vm) -> void;
    auto isBackupGone(const Core::KeyPrefix& prefix) const -> bool;
    auto takeExpired(Core::Instant now, bool backupGone) -> std::vector<Closing>;
    auto needsNext(Core::Instant now, const Backup& candidate) const -> bool;
    auto openNext(const Backup& backup) -> Core::KeyPrefix;
    auto dropExpired(Core::Instant now) -> void;
    auto recordClosings(const std::vector<Closing>& closings) -> void;
    auto current() const -> const OpenEpoch*;

    Collaborators m_collaborators;
    const HomeIdentity m_identity;
    const LedgerLimits m_limits;
    mutable std::mutex m_mutex;
    std::deque<OpenEpoch> m_epochs;
    Core::Epoch m_last;
    /// Taken only when there is no other candidate.
    Core::EntryVmId m_failedBackup;
    std::map<Core::EntryVmId, Core::Incarnation> m_introduced;
    bool m_isIntroducing = false;
    bool m_isStopped = false;
    std::unique_ptr<Ports::Timer> m_timer;
};

} // namespace Ledger
