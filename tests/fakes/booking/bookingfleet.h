#pragma once

#include "configuration/configurationholder.h"
#include "fakes/booking/atmostoncechecker.h"
#include "ledger/bookingsystem.h"
#include "ledgerpeer/ledgerpeer.h"

#include <memory>

namespace Fakes {

/// Membership view of one node; changes only when the test changes it.
class FakeMembers : public Membership::MembershipView {
public:
    [[nodiscard]] auto members() const -> std::vector<Membership::Member> override;
    [[nodiscard]] auto find(const Core::EntryVmId& vm) const -> std::optional<Membership::Member> override;

    std::map<Core::EntryVmId, Membership::Member> knownMembers;
};

/// Records the events of all nodes in order, so that a failed run can print them.
class FleetEventRecorder {
public:
    auto add(const Core::EntryVmId& vm, Core::Instant time, const Ports::Event& event) -> void;
    [[nodiscard]] auto lines() const -> const std::vector<std::string>& { return m_lines; }
    [[nodiscard]] auto count(const std::string& text) const -> std::size_t;

private:
    std::vector<std::string> m_lines;
};

/// Process of an entry VM, reduced to the components that handle bookings.
struct BookingNode : public Ports::EventSink {
    BookingNode(VirtualWorld& world, const Fleet::EntryVm& vm, Core::Incarnation incarnation,
        const Ledger::LedgerLimits& limits, AtMostOnceChecker& checker, FleetEventRecorder& events,
        const Configuration::ConfigurationSource& configuration, FakeMembers& members, const Fleet::FleetSource& fleet);

    auto record(Ports::Event event) -> void override { m_events.add(vm.id, m_world.now(), event); }

    Fleet::EntryVm vm;
    Core::Incarnation incarnation;
    VirtualNode ports;
    ScriptedUpstreams upstreams;
    LedgerPeer::LedgerPeerClient peers;
    Ledger::BookingSystem system;

private:
    VirtualWorld& m_world;
    FleetEventRecorder& m_events;
};

/// Reply to one request for a booking; empty until it arrives.
using PendingReply = std::shared_ptr<std::optional<Core::Reply>>;

/// Simulated entry VMs of one region, one in each failure domain, with the services "booking" and "hold", the latter
/// without a backup.
class BookingFleet {
public:
    explicit BookingFleet(std::uint64_t seed, std::size_t size = 3, const Ledger::LedgerLimits& limits = {});

    /// Returns the name of the entry VM at the index, for example "vm-0".
    static auto name(std::size_t index) -> Core::EntryVmId;
    /// Returns null while the node is down.
    auto node(std::size_t index) -> BookingNode* { return m_nodes.at(index).get(); }
    auto start(std::size_t index) -> void;
    /// Starts the node with an empty view, which stays empty until updateView() is called.
    auto startWithEmptyView(std::size_t index) -> void;
    auto crash(std::size_t index) -> void;
    auto pause(std::size_t index) -> void { world.pause(address(index)); }
    auto resume(std::size_t index) -> void { world.resume(address(index)); }
    auto cut(std::size_t one, std::size_t other) -> void { world.cut(address(one), address(other)); }
    /// Sets the observer's view to the actual state of all nodes; nodes that are down are suspected.
    auto updateView(std::size_t observer) -> void;
    auto updateAllViews() -> void;
    auto suspect(std::size_t observer, std::size_t suspected) -> void;
    /// Removes the other node from the observer's view, so that only the fleet list contains it.
    auto removeFromView(std::size_t observer, std::size_t other) -> void
    {
        m_views.at(observer).knownMembers.erase(name(other));
    }

    /// Returns a fresh key with the given home, or an empty value if the home issues no prefixes.
    auto freshKey(std::size_t home, bool needsBackup = true) -> std::optional<Core::RequestKey>;
    /// Returns the index of the backup named by the key.
    auto backupOf(const Core::RequestKey& key) const -> std::size_t;
    auto send(std::size_t via, const Core::RequestKey& key, const std::string& service = "booking",
        Core::Duration timeout = Core::Millis(2000), const std::string& body = "one peg") -> PendingReply;

    VirtualWorld world;
    AtMostOnceChecker checker;
    FleetEventRecorder events;

private:
    auto makeProcess(std::size_t index) -> void;
    static auto address(std::size_t index) -> Core::Address;
    static auto vm(std::size_t index) -> Fleet::EntryVm;

    Ledger::LedgerLimits m_limits;
    Configuration::ConfigurationHolder m_configuration;
    Fleet::FleetHolder m_fleet;
    std::vector<FakeMembers> m_views;
    std::vector<std::unique_ptr<BookingNode>> m_nodes;
    /// Terminated processes, kept in memory because messages in transit may still refer to them.
    std::vector<std::unique_ptr<BookingNode>> m_terminated;
    std::uint64_t m_lastIncarnation = 0;
    std::uint64_t m_lastUnique = 0;
    std::uint64_t m_lastRequest = 0;
};

} // namespace Fakes
