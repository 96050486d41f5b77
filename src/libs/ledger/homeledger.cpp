#include "ledger/homeledger.h"

#include <atomic>

namespace Ledger {

namespace {

    const Ports::EventKind bookingReceived { "booking.received" };
    const Ports::EventKind bookingIntent { "booking.intent" };
    const Ports::EventKind bookingStarted { "booking.started" };
    const Ports::EventKind bookingAnswered { "booking.answered" };
    const Ports::EventKind bookingRefused { "booking.refused" };
    const Ports::EventKind bookingHandedOver { "booking.handed-over" };

    auto toString(Admission admission) -> std::string
    {
        switch (admission) {
        case Admission::Start:
        case Admission::AnnounceFirst:
            return "first";
        case Admission::Attached:
            return "attached";
        case Admission::Completed:
            return "replayed";
        default:
            return "refused";
        }
    }

} // namespace

auto unknownOutcome(Core::RefusalReason reason, std::string message) -> Core::Refusal
{
    return { Core::RunOutcome::Unknown, reason, std::move(message),
        "retry with the same idempotency key; if the outcome stays unknown, check the booking with its owner", {} };
}

auto notRunWithFreshKey(Core::RefusalReason reason, std::string message, std::string keyPrefix) -> Core::Refusal
{
    auto remedy = keyPrefix.empty() ? "look up another entry VM and retry with a fresh key from there"
                                    : "retry with a fresh key made from the given prefix";
    return { Core::RunOutcome::NotRun, reason, std::move(message), std::move(remedy), std::move(keyPrefix) };
}

HomeLedger::HomeLedger(Dependencies dependencies, const LedgerLimits& limits)
    : m_dependencies(dependencies)
    , m_limits(limits)
{
}

auto HomeLedger::execute(
    Core::ServiceRequest request, const Configuration::ServicePolicy& policy, Core::ReplyCallback callback) -> void
{
    Waiter waiter { request.id, std::move(callback) };
    auto result = m_dependencies.records.admit(request, policy.needsBackup, waiter);
    record(bookingReceived, request, toString(result.admission));
    switch (result.admission) {
    case Admission::Start:
    case Admission::AnnounceFirst:
        begin(std::make_shared<const Booking>(Booking { std::move(request), policy }));
        return;
    case Admission::Attached:
        return;
    case Admission::Completed:
    case Admission::BackupMissing:
        deliver(waiter, std::move(result.reply), policy.needsBackup);
        return;
    case Admission::Full:
        m_dependencies.epochs.abandon(request.key->prefix.epoch, "ledger full");
        break;
    default:
        break;
    }
    refuse(waiter, result.admission, policy.needsBackup);
}

auto HomeLedger::begin(const BookingPointer& booking) -> void
{
    // Validate only after the key is recorded: a retry of an unrecorded key could still run after the refusal.
    if (auto refusal = validate(*booking))
        finish(booking, std::move(*refusal));
    else if (hasBackup(booking->request.key->prefix))
        announce(booking, 1);
    else
        start(booking, false);
}

auto HomeLedger::validate(const Booking& booking) const -> std::optional<Core::Refusal>
{
    if (booking.request.body.size() > booking.policy.maximumBody.value()) {
        return notRunWithFreshKey(
            Core::RefusalReason::RequestTooLarge, "the body exceeds the limit of the service", {});
    }
    if (booking.request.deadline <= m_dependencies.clock.now())
        return notRunWithFreshKey(Core::RefusalReason::DeadlinePassed, "the deadline has passed", {});
    return std::nullopt;
}

auto HomeLedger::refuse(const Waiter& waiter, Admission admission, bool needsBackup) -> void
{
    using Core::RefusalReason;
    const auto fresh = [&] { return m_dependencies.epochs.currentPrefix(needsBackup); };
    switch (admission) {
    case Admission::EpochClosed:
        deliver(waiter,
            notRunWithFreshKey(RefusalReason::EpochClosed, "the key's epoch accepts no new bookings", fresh()),
            needsBackup);
        return;
    case Admission::Full:
        deliver(waiter,
            notRunWithFreshKey(RefusalReason::LedgerFull, "the ledger has no capacity for another booking", fresh()),
            needsBackup);
        return;
    case Admission::OtherRequest:
        deliver(waiter,
            unknownOutcome(RefusalReason::KeyInvalid, "the key was already used for a request with different content"),
            needsBackup);
        return;
    case Admission::PrefixUnknown:
        deliver(
            waiter, unknownOutcome(RefusalReason::KeyInvalid, "the key's home never issued its prefix"), needsBackup);
        return;
    default:
        deliver(waiter, unknownOutcome(RefusalReason::EpochClosed, "the records of the key's epoch were dropped"),
            needsBackup);
    }
}

auto HomeLedger::announce(const BookingPointer& booking, std::size_t attempt) -> void
{
    const auto& request = booking->request;
    record(bookingIntent, request, request.key->prefix.backup.value());
    m_dependencies.backup.announce({ *request.key, request.id, fingerprintOf(request) }, m_limits.intentTimeout,
        [this, booking, attempt](IntentOutcome outcome) { handleIntentOutcome(booking, attempt, outcome); });
}

auto HomeLedger::handleIntentOutcome(const BookingPointer& booking, std::size_t attempt, IntentOutcome outcome) -> void
{
    if (outcome == IntentOutcome::Acknowledged) {
        start(booking, true);
        return;
    }
    if (outcome == IntentOutcome::Unreachable && attempt < m_limits.intentAttempts) {
        announce(booking, attempt + 1);
        return;
    }
    // Record the tombstone before the epoch changes, so that a late acknowledgement does not start the booking.
    finish(booking,
        notRunWithFreshKey(Core::RefusalReason::BackupUnavailable,
            "the backup did not acknowledge the intent: " + toString(outcome), {}));
    m_dependencies.epochs.abandon(booking->request.key->prefix.epoch, "backup " + toString(outcome));
}

auto HomeLedger::start(const BookingPointer& booking, bool acknowledged) -> void
{
    if (!m_dependencies.records.markStarted(*booking->request.key, acknowledged))
        return;
    record(bookingStarted, booking->request, {});
    m_dependencies.dispatcher.dispatch(
        booking->request, booking->policy, [this, booking](Core::Reply reply) { finish(booking, std::move(reply)); });
}

auto HomeLedger::finish(const BookingPointer& booking, Core::Reply reply) -> void
{
    const auto& request = booking->request;
    const auto* refusal = std::get_if<Core::Refusal>(&reply);
    const auto isUnknown = refusal != nullptr && refusal->outcome == Core::RunOutcome::Unknown;
    const auto waiters = m_dependencies.records.finish(*request.key, reply);
    record(refusal != nullptr ? bookingRefused : bookingAnswered, request,
        refusal != nullptr ? toString(refusal->outcome) : std::get<Core::Answer>(reply).upstream.value());
    if (hasBackup(request.key->prefix) && !isUnknown) {
        Outcome outcome { *request.key, request.id, std::nullopt };
        if (refusal == nullptr)
            outcome.answer = std::get<Core::Answer>(reply);
        storeOutcome(std::move(outcome), 1, [] {});
    }
    for (const auto& waiter : waiters)
        deliver(waiter, reply, booking->policy.needsBackup);
}

auto HomeLedger::deliver(const Waiter& waiter, Core::Reply reply, bool needsBackup) -> void
{
    if (auto* answer = std::get_if<Core::Answer>(&reply)) {
        answer->id = waiter.request;
    } else if (auto& refusal = std::get<Core::Refusal>(reply); refusal.outcome == Core::RunOutcome::NotRun) {
        refusal.keyPrefix = m_dependencies.epochs.currentPrefix(needsBackup);
    }
    waiter.callback(std::move(reply));
}

auto HomeLedger::storeOutcome(Outcome outcome, std::size_t attempt, std::function<void()> done) -> void
{
    m_dependencies.backup.storeOutcome(outcome, m_limits.storeTimeout,
        [this, outcome, attempt, done = std::move(done)](const Core::Result<void>& result) {
            if (result)
                m_dependencies.records.markConfirmed(outcome.key);
            const auto isFinal = result || result.error().kind == Core::ErrorKind::NotFound;
            if (isFinal || attempt >= m_limits.storeAttempts) {
                done();
                return;
            }
            storeOutcome(outcome, attempt + 1, done);
        });
}

auto HomeLedger::handOver(std::function<void()> callback) -> void
{
    auto outcomes = m_dependencies.records.unconfirmed();
    m_dependencies.events.record({ bookingHandedOver, {}, { { "outcomes", std::to_string(outcomes.size()) } } });
    if (outcomes.empty()) {
        callback();
        return;
    }
    auto remaining = std::make_shared<std::atomic<std::size_t>>(outcomes.size());
    auto done = [remaining, callback = std::move(callback)] {
        if (--*remaining == 0)
            callback();
    };
    for (auto& outcome : outcomes)
        storeOutcome(std::move(outcome), 1, done);
}

auto HomeLedger::record(const Ports::EventKind& kind, const Core::ServiceRequest& request, std::string detail) -> void
{
    m_dependencies.events.record(
        { kind, request.id, { { "key", toString(*request.key) }, { "detail", std::move(detail) } } });
}

} // namespace Ledger
