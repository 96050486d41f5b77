// Measures the cost of bookings in the ledger: bytes per booking at the home and at the backup, processing time per
// booking, and the latency added by the backup's acknowledgement over loopback. Prints a table and one line of JSON.
// Usage: bench_ledger [BOOKINGS]

#include "ledger/bookingsystem.h"
#include "ledgerpeer/ledgercodec.h"
#include "peerstream/handlertable.h"
#include "peerstream/peerstreamclient.h"
#include "peerstream/peerstreamserver.h"
#include "runtime/asioruntime.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <future>
#include <iostream>
#include <malloc.h>
#include <nlohmann/json.hpp>

namespace {

using SteadyClock = std::chrono::steady_clock;

constexpr std::size_t answerBodyBytes = 256;
constexpr std::size_t defaultBookings = 20'000;
constexpr std::size_t roundTrips = 5'000;
const Core::EntryVmId homeVm { "atl-1-vm-1" };
const Core::EntryVmId backupVm { "atl-2-vm-1" };
const Core::Incarnation homeIncarnation { 1, 2 };
const Core::Incarnation backupIncarnation { 3, 4 };

/// Membership view with the home and the backup in one region, both alive.
class TwoMembers : public Membership::MembershipView {
public:
    [[nodiscard]] auto members() const -> std::vector<Membership::Member> override
    {
        return { member(homeVm, "atl-1", homeIncarnation), member(backupVm, "atl-2", backupIncarnation) };
    }
    [[nodiscard]] auto find(const Core::EntryVmId& vm) const -> std::optional<Membership::Member> override
    {
        return vm == homeVm ? members().front() : members().back();
    }

private:
    static auto member(const Core::EntryVmId& vm, const std::string& domain, Core::Incarnation incarnation)
        -> Membership::Member
    {
        Membership::Member result;
        result.vm = { vm, Core::FailureDomainId(domain), Core::RegionId("atl"), {}, {}, Fleet::MemberState::Live };
        result.incarnation = incarnation;
        return result;
    }
};

class NullEventSink : public Ports::EventSink {
public:
    auto record(Ports::Event) -> void override { }
};

class ImmediateUpstreams : public Dispatch::Dispatcher {
public:
    auto dispatch(Core::ServiceRequest request, const Configuration::ServicePolicy&, Core::ReplyCallback callback)
        -> void override
    {
        callback(Core::Answer { std::move(request.id), Core::UpstreamId("booking-1"), 200, "application/json",
            std::string(answerBodyBytes, 'x') });
    }
};

/// Calls the backup ledger directly, without network or encoding.
class DirectBackup : public Ledger::BackupPort, public Ledger::HomeRelayPort {
public:
    auto fetchIncarnation(const Core::EntryVmId&, Core::Duration, IncarnationCallback callback) -> void override
    {
        callback(backup->incarnation());
    }
    auto announce(Ledger::Intent intent, Core::Duration, IntentCallback callback) -> void override
    {
        callback(backup->acknowledge(intent));
    }
    auto storeOutcome(Ledger::Outcome outcome, Core::Duration, StoreCallback callback) -> void override
    {
        callback(backup->storeOutcome(outcome));
    }
    auto resolve(Ledger::Query query, Core::Duration, ResolveCallback callback) -> void override
    {
        callback(backup->resolve(query));
    }
    auto relay(Core::ServiceRequest, Core::Duration, RelayCallback callback) -> void override
    {
        callback(Core::fail(Core::ErrorKind::Unreachable, "not used", "none"));
    }

    Ledger::BackupLedger* backup = nullptr;
};

auto largeLimits() -> Ledger::LedgerLimits
{
    Ledger::LedgerLimits limits;
    limits.maximumRecords = 10'000'000;
    limits.maximumBytes = Core::Bytes(std::uint64_t { 8 } << 30U);
    return limits;
}

auto allocatedBytes() -> std::size_t { return mallinfo2().uordblks; }

auto request(const Core::KeyPrefix& prefix, std::size_t index) -> Core::ServiceRequest
{
    Core::ServiceRequest result;
    result.id = Core::RequestId("request-" + std::to_string(index));
    result.service = Core::ServiceId("booking");
    result.deadline = Core::Instant::max();
    result.key = Core::RequestKey { prefix, "6f1c2a9e-crew-" + std::to_string(index) };
    result.body = R"({"kit":"camera","crew":17})";
    return result;
}

struct LedgerCost {
    double bytesAllocated = 0;
    double bytesCounted = 0;
    double microsecondsPerBooking = 0;
    double microsecondsPerReplay = 0;
};

auto measureLedger(bool needsBackup, std::size_t bookings) -> LedgerCost
{
    const Runtime::SystemClock clock;
    Runtime::AsioRuntime scheduler(1);
    TwoMembers members;
    NullEventSink events;
    Fleet::FleetHolder fleet;
    fleet.offer({ Core::Version(1), { members.members().front().vm, members.members().back().vm }, {} });
    ImmediateUpstreams upstreams;
    DirectBackup port;
    Ledger::BackupLedger backup({ clock, members, events }, backupIncarnation, largeLimits());
    port.backup = &backup;
    Ledger::BookingSystem home({ clock, scheduler, members, events, upstreams, port, port, fleet },
        { homeVm, homeIncarnation, Core::FailureDomainId("atl-1"), Core::RegionId("atl") }, largeLimits());
    home.start();
    const auto prefix = Core::parseKeyPrefix(home.prefixes().currentPrefix(needsBackup));
    Configuration::ServicePolicy policy;
    policy.isIdempotent = false;
    policy.needsBackup = needsBackup;
    const auto bytesBefore = allocatedBytes();
    const auto runAll = [&] {
        const auto start = SteadyClock::now();
        for (std::size_t index = 0; index < bookings; ++index)
            home.coordinator().execute(request(*prefix, index), policy, [](const Core::Reply&) {});
        return std::chrono::duration<double, std::micro>(SteadyClock::now() - start).count()
            / static_cast<double>(bookings);
    };
    LedgerCost cost;
    cost.microsecondsPerBooking = runAll();
    const auto count = static_cast<double>(bookings);
    cost.bytesAllocated = static_cast<double>(allocatedBytes() - bytesBefore) / count;
    const auto counted = home.records().budget().bytes().value() + backup.budget().bytes().value();
    cost.bytesCounted = static_cast<double>(counted) / count;
    cost.microsecondsPerReplay = runAll();
    return cost;
}

/// Sends consecutive intents over loopback. Returns the round-trip times in milliseconds, sorted.
auto measureAcknowledgement() -> std::vector<double>
{
    const Runtime::SystemClock clock;
    Runtime::AsioRuntime runtime(2);
    TwoMembers members;
    NullEventSink events;
    Ledger::BackupLedger backup({ clock, members, events }, backupIncarnation, largeLimits());
    PeerStream::HandlerTable handlers;
    handlers.registerHandler(
        "ledger.intent", [&](const std::string& payload, const Ports::PeerRouter::Respond& respond) {
            respond(LedgerPeer::decodeIntent(payload).map(
                [&](const Ledger::Intent& intent) { return LedgerPeer::encode(backup.acknowledge(intent)); }));
        });
    PeerStream::TrafficCounters traffic;
    PeerStream::PeerStreamServer server(runtime.context(), Core::Address("127.0.0.1:0"), handlers, traffic);
    PeerStream::PeerStreamClient client(runtime.context(), traffic);
    const Core::Address peer("127.0.0.1:" + std::to_string(server.port()));
    std::jthread loop([&] { runtime.run(); });
    const Core::KeyPrefix prefix { homeVm, homeIncarnation, Core::Epoch(1), backupVm, backupIncarnation };
    std::vector<double> milliseconds;
    for (std::size_t index = 0; index < roundTrips; ++index) {
        const auto sent = request(prefix, index);
        const auto payload = LedgerPeer::encode(Ledger::Intent { *sent.key, sent.id, Ledger::fingerprintOf(sent) });
        std::promise<bool> done;
        const auto start = SteadyClock::now();
        client.call(peer, { "ledger.intent", payload }, std::chrono::seconds(5),
            [&](const Core::Result<std::string>& reply) { done.set_value(reply.has_value()); });
        if (done.get_future().get())
            milliseconds.push_back(std::chrono::duration<double, std::milli>(SteadyClock::now() - start).count());
    }
    runtime.stop();
    std::sort(milliseconds.begin(), milliseconds.end());
    return milliseconds;
}

auto quantile(const std::vector<double>& sorted, double share) -> double
{
    return sorted.at(static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1)));
}

auto print(const char* label, const LedgerCost& cost) -> nlohmann::json
{
    std::printf("%-16s %12.0f %12.0f %16.2f %16.2f\n", label, cost.bytesAllocated, cost.bytesCounted,
        cost.microsecondsPerBooking, cost.microsecondsPerReplay);
    return { { "bytes", cost.bytesAllocated }, { "countedBytes", cost.bytesCounted },
        { "bookingMicroseconds", cost.microsecondsPerBooking }, { "replayMicroseconds", cost.microsecondsPerReplay } };
}

} // namespace

auto main(int argc, char** argv) -> int
{
    const auto bookings = argc > 1 ? std::stoul(argv[1]) : defaultBookings;
    std::printf("%zu bookings, answers of %zu bytes\n", bookings, answerBodyBytes);
    std::printf("%-16s %12s %12s %16s %16s\n", "ledger", "bytes", "counted", "us per booking", "us per replay");
    nlohmann::json result;
    result["homeOnly"] = print("home only", measureLedger(false, bookings));
    result["homeAndBackup"] = print("home and backup", measureLedger(true, bookings));
    const auto acknowledgement = measureAcknowledgement();
    std::printf("acknowledgement over loopback, ms: median %.3f, 99%% %.3f, of %zu\n", quantile(acknowledgement, 0.5),
        quantile(acknowledgement, 0.99), acknowledgement.size());
    result["acknowledgementMs"]
        = { { "median", quantile(acknowledgement, 0.5) }, { "p99", quantile(acknowledgement, 0.99) } };
    std::cout << result.dump() << '\n';
    return 0;
}
