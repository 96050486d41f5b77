#pragma once

#include "configuration/configurationholder.h"
#include "fakes/booking/upstreambook.h"
#include "ledger/bookingsystem.h"
#include "ledgerpeer/ledgerpeer.h"

#include <memory>

namespace Fakes {

/// What one node believes about the others; changes only when told to.
class FakeMembers : public Membership::MembershipView {
public:
    [[nodiscard]] auto members() const -> std::vector<Membership::Member> override;
    [[nodiscard]] auto find(const Core::EntryVmId& vm) const -> std::optional<Membership::Member> override;

    std::map<Core::EntryVmId, Membership::Member> known;
};

/// Keeps the time line of all nodes, so that a failed run can print it.
class FleetEvents {
public:
    auto add(const Core::EntryVmId& vm, Core::Instant time, const Ports::Event& event) -> void;
    [[nodiscard]] auto lines() const -> const std::vector<std::string>& { return m_lines; }
    [[nodiscard]] auto count(const std::string& text) const -> std::size_t;

private:
    std::vector<std::string> m_lines;
};

/// Process of an entry VM, as far as bookings are concerned.
struct BookingNode : public Ports::EventSink {
    BookingNode(VirtualWorld& world, const Fleet::EntryVm& vm, Core::Incarnation incarnation,
        const Ledger::LedgerLimits& limits, UpstreamBook& book, FleetEvents& events,
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
    FleetEvents& m_events;
};

/// Reply to one copy of a booking; empty while there is none.
using SentReply = std::shared_ptr<std::optional<Core::Reply>>;

/// Entry VMs of one region, one in each failure domain, with the services "booking" and "hold" (without a backup).
class BookingFleet {
public:
    explicit BookingFleet(std::uint64_t seed, std::size_t size = 3, const Ledger::LedgerLimits& limits = {});

    /// Name of the entry VM at the index, for example "vm-0".
    static auto name(std::size_t index) -> Core::EntryVmId;
    /// Null while it is down.
    auto node(std::size_t index) -> BookingNode* { return m_nodes.at(index).get(); }
    auto start(std::size_t index) -> void;
    /// Starts it with a view that is empty, and stays so until it learns.
    auto startKnowingNobody(std::size_t index) -> void;
    auto crash(std::size_t index) -> void;
    auto pause(std::size_t index) -> void { world.pause(address(index)); }
    auto resume(std::size_t index) -> void { world.resume(address(index)); }
    auto cut(std::size_t one, std::size_t other) -> void { world.cut(address(one), address(other)); }
    /// The node's view becomes the truth, with the nodes that are down suspected.
    auto learn(std::size_t observer) -> void;
    auto learnAll() -> void;
    auto suspect(std::size_t observer, std::size_t suspected) -> void;
    /// The observer knows the other one from the fleet list only.
    auto forget(std::size_t observer, std::size_t other) -> void { m_views.at(observer).known.erase(name(other)); }

    /// A fresh key with the given home; empty when the home gives none out.
    auto freshKey(std::size_t home, bool needsBackup = true) -> std::optional<Core::RequestKey>;
    /// Index of the backup that the key names.
    auto backupOf(const Core::RequestKey& key) const -> std::size_t;
    auto send(std::size_t via, const Core::RequestKey& key, const std::string& service = "booking",
        Core::Duration patience = Core::Millis(2000), const std::string& body = "one peg") -> SentReply;

    VirtualWorld world;
    UpstreamBook book;
    FleetEvents events;

private:
    auto makeProcess(std::size_t index) -> void;
    static auto address(std::size_t index) -> Core::Address;
    static auto vm(std::size_t index) -> Fleet::EntryVm;

    Ledger::LedgerLimits m_limits;
    Configuration::ConfigurationHolder m_configuration;
    Fleet::FleetHolder m_fleet;
    std::vector<FakeMembers> m_views;
    std::vector<std::unique_ptr<BookingNode>> m_nodes;
    /// Ended processes stay in memory, since messages under way may still refer to them.
    std::vector<std::unique_ptr<BookingNode>> m_ended;
    std::uint64_t m_lastIncarnation = 0;
    std::uint64_t m_lastUnique = 0;
    std::uint64_t m_lastRequest = 0;
};

} // namespace Fakes
