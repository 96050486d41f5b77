#include "ledger/bookingcoordinator.h"

#include <algorithm>

namespace Ledger {

namespace {

    const Ports::EventKind bookingRelayed { "booking.relayed" };
    const Ports::EventKind bookingResolved { "booking.resolved" };

    auto unresolvedOutcome(const std::string& detail) -> Core::Refusal
    {
        return unknownOutcome(Core::RefusalReason::HomeUnreachable, "the key's home is unreachable; backup: " + detail);
    }

} // namespace

BookingCoordinator::BookingCoordinator(Dependencies dependencies, HomeIdentity identity, const LedgerLimits& limits)
    : m_dependencies(dependencies)
    , m_identity(std::move(identity))
    , m_limits(limits)
{
}

auto BookingCoordinator::isOwnIncarnation(const Core::KeyPrefix& prefix) const -> bool
{
    return prefix.home == m_identity.vm && prefix.homeIncarnation == m_identity.incarnation;
}

auto BookingCoordinator::isHomeReplaced(const Core::KeyPrefix& prefix) const -> bool
{
    if (prefix.home == m_identity.vm)
        return prefix.homeIncarnation != m_identity.incarnation;
    const auto member = m_dependencies.members.find(prefix.home);
    return member && member->incarnation != Core::Incarnation() && member->incarnation != prefix.homeIncarnation;
}

auto BookingCoordinator::isHomeUsable(const Core::KeyPrefix& prefix) const -> bool
{
    const auto member = m_dependencies.members.find(prefix.home);
    // The view contains only a few members of other failure domains, so a home that is missing from it is tried before
    // its backup.
    return prefix.home != m_identity.vm
        && (!member || (member->health != Membership::MemberHealth::Suspected && !isHomeReplaced(prefix)));
}

auto BookingCoordinator::execute(
    Core::ServiceRequest request, const Configuration::ServicePolicy& policy, Core::ReplyCallback callback) -> void
{
    if (isOwnIncarnation(request.key->prefix)) {
        m_dependencies.home.execute(std::move(request), policy, std::move(callback));
        return;
    }
    const auto booking
        = std::make_shared<Booking>(Booking { std::move(request), policy.needsBackup, std::move(callback), false });
    if (isHomeUsable(booking->request.key->prefix))
        relay(booking);
    else
        queryBackup(booking);
}

auto BookingCoordinator::executeRelayed(Core::ServiceRequest request, const Configuration::ServicePolicy& policy,
    HomeRelayPort::RelayCallback callback) -> void
{
    if (!request.key || !isOwnIncarnation(request.key->prefix)) {
        callback(Core::fail(
            Core::ErrorKind::NotFound, "the key names another incarnation of its home", "query the key's backup"));
        return;
    }
    m_dependencies.home.execute(std::move(request), policy,
        [callback = std::move(callback)](Core::Reply reply) { callback(std::move(reply)); });
}

auto BookingCoordinator::relay(const BookingPointer& booking) -> void
{
    booking->wasRelayed = true;
    const auto& request = booking->request;
    m_dependencies.events.record({ bookingRelayed, request.id, { { "home", request.key->prefix.home.value() } } });
    const auto timeout = std::max(request.deadline - m_dependencies.clock.now(), Core::Duration::zero());
    m_dependencies.relayPort.relay(request, timeout, [this, booking](Core::Result<Core::Reply> result) {
        if (result)
            respond(booking, std::move(*result));
        else
            queryBackup(booking);
    });
}

auto BookingCoordinator::queryBackup(const BookingPointer& booking) -> void
{
    const auto& request = booking->request;
    const auto& prefix = request.key->prefix;
    if (!hasBackup(prefix)) {
        if (!booking->wasRelayed && !isHomeReplaced(prefix))
            relay(booking);
        else
            respond(booking, unresolvedOutcome("none"));
        return;
    }
    Query query { *request.key, request.id, fingerprintOf(request) };
    if (prefix.backup == m_identity.vm) {
        handleResolution(booking, m_dependencies.backup.resolve(query));
        return;
    }
    m_dependencies.backupPort.resolve(std::move(query), m_limits.resolveTimeout,
        [this, booking](const Core::Result<Resolution>& result) { handleResolution(booking, result); });
}

auto BookingCoordinator::handleResolution(const BookingPointer& booking, const Core::Result<Resolution>& result) -> void
{
    const auto& request = booking->request;
    const auto kind = result ? result->kind : ResolutionKind::NotHeld;
    m_dependencies.events.record({ bookingResolved, request.id,
        { { "backup", request.key->prefix.backup.value() },
            { "result", result ? toString(kind) : toString(result.error().kind) } } });
    switch (kind) {
    case ResolutionKind::Answered:
        respond(booking, *result->answer);
        return;
    case ResolutionKind::NotRun:
        respond(booking,
            notRunWithFreshKey(Core::RefusalReason::EpochClosed,
                "the key's home did not start the booking and can no longer start it", {}));
        return;
    case ResolutionKind::OtherRequest:
        respond(booking,
            unknownOutcome(
                Core::RefusalReason::KeyInvalid, "the key was already used for a request with different content"));
        return;
    default:
        break;
    }
    // The suspicion of the home may be wrong, so relay to the home as a last attempt.
    if (kind != ResolutionKind::Started && !booking->wasRelayed && !isHomeReplaced(request.key->prefix))
        relay(booking);
    else
        respond(booking, unresolvedOutcome(result ? toString(kind) : toString(result.error().kind)));
}

auto BookingCoordinator::respond(const BookingPointer& booking, Core::Reply reply) -> void
{
    if (auto* answer = std::get_if<Core::Answer>(&reply)) {
        answer->id = booking->request.id;
    } else if (auto& refusal = std::get<Core::Refusal>(reply);
               refusal.outcome == Core::RunOutcome::NotRun && refusal.keyPrefix.empty()) {
        refusal.keyPrefix = m_dependencies.prefixes.currentPrefix(booking->needsBackup);
    }
    booking->callback(std::move(reply));
}

} // namespace Ledger
