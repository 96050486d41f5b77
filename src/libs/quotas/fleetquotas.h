#pragma once

#include "core/sharded.h"
#include "organisations/organisationdirectory.h"
#include "ports/clock.h"
#include "ports/eventsink.h"
#include "ports/scheduler.h"
#include "quotas/organisationpermits.h"
#include "quotas/permittree.h"
#include "quotas/quotabounds.h"
#include "quotas/treeneighbours.h"

#include <atomic>
#include <mutex>
#include <set>

namespace Quotas {

/// Keeps the quotas of organisations over all VMs together. Each VM mints an equal part of each rate and moves the
/// permits that it does not need to its parent in a tree, which passes them on to VMs that lack some.
class FleetQuotas : public QuotaGate {
public:
    struct Environment {
        const Ports::Clock& clock;
        Ports::Scheduler& scheduler;
        Ports::EventSink& events;
        PermitPort& port;
    };

    /// Counts and permits of one organisation on this VM.
    struct OrganisationState {
        Core::OrganisationId organisation;
        OrganisationPermits::Counts counts;
        Permits stock;
    };

    /// Interval at which surplus permits move to the parent.
    static constexpr Core::Millis moveInterval { 100 };
    /// Time within which requests for permits are gathered into one message.
    static constexpr Core::Millis askInterval { 20 };
    static constexpr std::size_t maximumOffers = 128;

    FleetQuotas(const TreeMember& self, Core::ProcessStartId start, const QuotaBounds& bounds, Environment environment);
    ~FleetQuotas() override;

    /// Applies the quotas of a configuration.
    auto setOrganisations(const Organisations::OrganisationDirectory& directory) -> void;
    /// Applies the complete list of VMs of the store. `members` need not contain this VM.
    auto setMembers(std::vector<TreeMember> members) -> void;

    auto acquire(const Organisations::OrganisationPointer& organisation, Core::Instant latest, Callback callback)
        -> void override;
    auto giveBack(const QuotaPermit& permit) -> void override;

    /// Handles the message of another VM that has this one for its parent.
    [[nodiscard]] auto receive(const PermitMessage& message) -> PermitReply;

    /// Returns the organisations with the most requests, at most the given number.
    [[nodiscard]] auto states(std::size_t limit) const -> std::vector<OrganisationState>;
    /// Returns the number of messages sent.
    [[nodiscard]] auto sentMessages() const -> std::uint64_t { return m_sentMessages; }

private:
    using PermitsById = std::map<Core::OrganisationId, OrganisationPermits>;
    using Decisions = OrganisationPermits::Decisions;

    /// Organisations whose surplus permits may move.
    struct Surplus {
        std::set<Core::OrganisationId> scarce;
        /// Nobody is known to lack them.
        std::set<Core::OrganisationId> idle;
    };

    /// Calls back; no lock may be held.
    static auto run(Decisions decisions) -> void;
    auto startMoving() -> void;
    auto scheduleMove() -> void;
    /// Moves surplus permits to the parent.
    auto move() -> void;
    /// Refills all organisations and serves the requests that wait.
    auto refillAll() -> Surplus;
    /// Takes the surplus of some of the organisations, of the next ones each time.
    auto takeSurplus(const std::set<Core::OrganisationId>& organisations, bool areScarce) -> std::vector<PermitOffer>;
    /// The organisation lacks permits here.
    auto addNeedy(const Core::OrganisationId& organisation) -> void;
    auto scheduleAsk() -> void;
    /// Asks the parent for what is lacking here and at the children.
    auto ask() -> void;
    /// Serves the organisation's requests that wait. Returns true if it still lacks permits.
    auto serveNeedy(const Core::OrganisationId& organisation, bool mayAsk, std::vector<PermitOffer>& offers,
        Decisions& decisions) -> bool;
    auto send(const TreeMember& parent, std::vector<PermitOffer> offers) -> void;
    /// Asks VMs that may become the parent whether they answer.
    auto probe() -> void;
    auto onReply(const Core::EntryVmId& parent, const std::vector<PermitOffer>& offers,
        const Core::Result<PermitReply>& reply) -> void;
    auto applyGrant(const PermitGrant& grant, bool hasGiven) -> void;
    /// Returns the permits that go to the child.
    auto answer(const Core::EntryVmId& child, const PermitOffer& offer, Decisions& decisions) -> Permits;
    auto recordParent(const std::string& parent) -> void;

    const QuotaBounds m_bounds;
    const Environment m_environment;
    mutable Core::Sharded<PermitsById> m_organisations;
    TreeNeighbours m_neighbours;
    std::atomic<std::uint64_t> m_sentMessages { 0 };
    std::atomic<int> m_openMessages { 0 };

    /// Guards what follows.
    std::mutex m_mutex;
    std::set<Core::OrganisationId> m_needy;
    /// The next message goes on with the surplus of the organisations after these.
    Core::OrganisationId m_lastScarce;
    Core::OrganisationId m_lastIdle;
    Core::Instant m_lastSent;
    std::string m_recordedParent;
    std::unique_ptr<Ports::Timer> m_moveTimer;
    std::unique_ptr<Ports::Timer> m_askTimer;
};

} // namespace Quotas
