#include "ledgerpeer/ledgerpeer.h"

#include "ledgerpeer/ledgercodec.h"

namespace LedgerPeer {

namespace {

    constexpr auto introduceKind = "ledger.introduce";
    constexpr auto intentKind = "ledger.intent";
    constexpr auto outcomeKind = "ledger.outcome";
    constexpr auto queryKind = "ledger.query";
    constexpr auto relayKind = "ledger.relay";

    auto relayToCoordinator(Ledger::BookingCoordinator& coordinator,
        const Configuration::ConfigurationSource& configuration, Core::ServiceRequest request,
        const Ports::PeerRouter::Respond& respond) -> void
    {
        const auto current = configuration.current();
        const auto* policy = current->find(request.service);
        if (policy == nullptr) {
            respond(Core::fail(Core::ErrorKind::NotFound, "the service is not configured at the key's home",
                "retry once the steering document is in force at the home"));
            return;
        }
        coordinator.executeRelayed(std::move(request), *policy, [respond](const Core::Result<Core::Reply>& reply) {
            respond(reply.map([](const Core::Reply& value) { return encode(value); }));
        });
    }

} // namespace

LedgerPeerClient::LedgerPeerClient(Ports::PeerTransport& transport, const Membership::MembershipView& members,
    const Fleet::FleetSource& fleet, const Ports::Clock& clock)
    : m_transport(transport)
    , m_members(members)
    , m_fleet(fleet)
    , m_clock(clock)
{
}

auto LedgerPeerClient::addressOf(const Core::EntryVmId& peer) const -> std::optional<Core::Address>
{
    if (const auto member = m_members.find(peer))
        return member->vm.peerAddress;
    const auto fleet = m_fleet.current();
    for (const auto& vm : fleet->entryVms) {
        if (vm.id == peer)
            return vm.peerAddress;
    }
    return std::nullopt;
}

auto LedgerPeerClient::fetchIncarnation(const Core::EntryVmId& vm, Core::Duration timeout, IncarnationCallback callback)
    -> void
{
    call(vm, { introduceKind, {} }, timeout, [callback = std::move(callback)](const Core::Result<std::string>& reply) {
        callback(reply.and_then(decodeIncarnation));
    });
}

auto LedgerPeerClient::call(const Core::EntryVmId& peer, Ports::PeerMessage message, Core::Duration timeout,
    Ports::PeerTransport::ReplyCallback callback) -> void
{
    const auto address = addressOf(peer);
    if (!address) {
        callback(Core::fail(Core::ErrorKind::Unreachable, "the address of entry VM '" + peer.value() + "' is unknown",
            "check that the platform's fleet list contains the entry VM"));
        return;
    }
    m_transport.call(*address, std::move(message), timeout, std::move(callback));
}

auto LedgerPeerClient::announce(Ledger::Intent intent, Core::Duration timeout, IntentCallback callback) -> void
{
    const auto peer = intent.key.prefix.backup;
    call(peer, { intentKind, encode(intent) }, timeout,
        [callback = std::move(callback)](const Core::Result<std::string>& reply) {
            callback(reply.and_then(decodeIntentOutcome).value_or(Ledger::IntentOutcome::Unreachable));
        });
}

auto LedgerPeerClient::storeOutcome(Ledger::Outcome outcome, Core::Duration timeout, StoreCallback callback) -> void
{
    const auto peer = outcome.key.prefix.backup;
    call(peer, { outcomeKind, encode(outcome) }, timeout,
        [callback = std::move(callback)](
            const Core::Result<std::string>& reply) { callback(reply.map([](const std::string&) {})); });
}

auto LedgerPeerClient::resolve(Ledger::Query query, Core::Duration timeout, ResolveCallback callback) -> void
{
    const auto peer = query.key.prefix.backup;
    call(peer, { queryKind, encode(query) }, timeout,
        [callback = std::move(callback)](
            const Core::Result<std::string>& reply) { callback(reply.and_then(decodeResolution)); });
}

auto LedgerPeerClient::relay(Core::ServiceRequest request, Core::Duration timeout, RelayCallback callback) -> void
{
    const auto peer = request.key->prefix.home;
    call(peer, { relayKind, encode(request, m_clock.now()) }, timeout,
        [callback = std::move(callback)](
            const Core::Result<std::string>& reply) { callback(reply.and_then(decodeReply)); });
}

auto registerHandlers(Ports::PeerRouter& router, Ledger::BackupLedger& backup, Ledger::BookingCoordinator& coordinator,
    const Configuration::ConfigurationSource& configuration, const Ports::Clock& clock) -> void
{
    using Respond = Ports::PeerRouter::Respond;
    router.registerHandler(introduceKind,
        [&backup](const std::string&, const Respond& respond) { respond(encode(backup.incarnation())); });
    router.registerHandler(intentKind, [&backup](const std::string& payload, const Respond& respond) {
        respond(decodeIntent(payload).map(
            [&](const Ledger::Intent& intent) { return encode(backup.acknowledge(intent)); }));
    });
    router.registerHandler(outcomeKind, [&backup](const std::string& payload, const Respond& respond) {
        respond(decodeOutcome(payload)
                    .and_then([&](const Ledger::Outcome& outcome) { return backup.storeOutcome(outcome); })
                    .map([] { return std::string(); }));
    });
    router.registerHandler(queryKind, [&backup](const std::string& payload, const Respond& respond) {
        respond(decodeQuery(payload).map([&](const Ledger::Query& query) { return encode(backup.resolve(query)); }));
    });
    router.registerHandler(
        relayKind, [&coordinator, &configuration, &clock](const std::string& payload, const Respond& respond) {
            auto request = decodeRequest(payload, clock.now());
            if (request)
                relayToCoordinator(coordinator, configuration, std::move(*request), respond);
            else
                respond(tl::unexpected(request.error()));
        });
}

} // namespace LedgerPeer
