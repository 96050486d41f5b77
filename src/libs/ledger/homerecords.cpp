#include "ledger/homerecords.h"

#include "core/invariant.h"

namespace Ledger {

namespace {

    /// Size of the hash table node and bucket of one record.
    constexpr std::size_t recordOverhead = 64;

    /// Returns the key of a record in its epoch. Keys with and without a backup are distinct even if their unique parts
    /// are equal.
    auto recordKey(const Core::RequestKey& key) -> std::string
    {
        return (hasBackup(key.prefix) ? '+' : '-') + key.unique;
    }

    auto sizeOf(const Core::Reply& reply) -> std::size_t
    {
        if (const auto* answer = std::get_if<Core::Answer>(&reply))
            return Ledger::sizeOf(*answer);
        const auto& refusal = std::get<Core::Refusal>(reply);
        return refusal.message.size() + refusal.remedy.size() + refusal.keyPrefix.size();
    }

    auto backupMissing() -> Core::Refusal
    {
        return { Core::RunOutcome::NotRun, Core::RefusalReason::BackupUnavailable,
            "the service needs a backup and the key names none", "retry with a fresh key, here or at another entry VM",
            {} };
    }

} // namespace

HomeRecords::HomeRecords(const LedgerLimits& limits)
    : m_limits(limits)
    , m_budget(limits)
{
}

auto HomeRecords::open(const Core::KeyPrefix& prefix) -> void
{
    m_state.forEach([&](State& state) { state.epochs[prefix.epoch].prefix = prefix; });
}

auto HomeRecords::close(Core::Epoch epoch) -> void
{
    m_state.forEach([&](State& state) {
        if (const auto found = state.epochs.find(epoch); found != state.epochs.end())
            found->second.isOpen = false;
    });
}

auto HomeRecords::drop(Core::Epoch epoch) -> bool
{
    auto isIdle = true;
    m_state.forEach([&](State& state) {
        const auto found = state.epochs.find(epoch);
        if (found != state.epochs.end())
            isIdle = isIdle && !found->second.isOpen && found->second.inFlight == 0;
    });
    if (!isIdle)
        return false;
    m_state.forEach([&](State& state) {
        const auto found = state.epochs.find(epoch);
        if (found == state.epochs.end())
            return;
        std::size_t bytes = 0;
        for (const auto& [name, record] : found->second.records)
            bytes += record.bytes;
        m_budget.release(found->second.records.size(), bytes);
        state.epochs.erase(found);
    });
    return true;
}

auto HomeRecords::admit(const Core::ServiceRequest& request, bool needsBackup, Waiter& waiter) -> AdmissionResult
{
    const auto& key = *request.key;
    return m_state.with(key, [&](State& state) -> AdmissionResult {
        const auto found = state.epochs.find(key.prefix.epoch);
        if (found == state.epochs.end())
            return { Admission::EpochUnknown };
        auto& epoch = found->second;
        if (key.prefix != epoch.prefix && key.prefix != withoutBackup(epoch.prefix))
            return { Admission::PrefixUnknown };
        const auto known = epoch.records.find(recordKey(key));
        if (known != epoch.records.end())
            return admitKnown(known->second, request, waiter);
        return admitNew(epoch, request, needsBackup, waiter);
    });
}

auto HomeRecords::admitKnown(Record& record, const Core::ServiceRequest& request, Waiter& waiter) -> AdmissionResult
{
    if (record.fingerprint != fingerprintOf(request))
        return { Admission::OtherRequest };
    if (record.reply)
        return { Admission::Completed, *record.reply };
    record.waiters.push_back(std::move(waiter));
    return { Admission::Attached };
}

auto HomeRecords::admitNew(EpochRecords& epoch, const Core::ServiceRequest& request, bool needsBackup, Waiter& waiter)
    -> AdmissionResult
{
    if (!epoch.isOpen)
        return { Admission::EpochClosed };
    const auto& key = *request.key;
    auto name = recordKey(key);
    const auto bytes
        = sizeof(Record) + recordOverhead + name.size() + request.id.value().size() + m_limits.answerReserve.value();
    if (!m_budget.reserve(bytes)) {
        // There is no capacity to record a tombstone, so closing the epoch has to prevent the key from ever starting.
        epoch.isOpen = false;
        return { Admission::Full };
    }
    auto& record = epoch.records[std::move(name)];
    record.request = request.id;
    record.fingerprint = fingerprintOf(request);
    record.bytes = bytes;
    record.needsAcknowledgement = hasBackup(key.prefix);
    if (needsBackup && !record.needsAcknowledgement) {
        recordReply(record, backupMissing());
        return { Admission::BackupMissing, *record.reply };
    }
    record.waiters.push_back(std::move(waiter));
    ++epoch.inFlight;
    return { record.needsAcknowledgement ? Admission::AnnounceFirst : Admission::Start };
}

auto HomeRecords::find(State& state, const Core::RequestKey& key) -> Record*
{
    const auto epoch = state.epochs.find(key.prefix.epoch);
    if (epoch == state.epochs.end())
        return nullptr;
    const auto record = epoch->second.records.find(recordKey(key));
    return record == epoch->second.records.end() ? nullptr : &record->second;
}

auto HomeRecords::markStarted(const Core::RequestKey& key, bool acknowledged) -> bool
{
    return m_state.with(key, [&](State& state) {
        auto* record = find(state, key);
        if (record == nullptr || record->state != RecordState::Announced)
            return false;
        Core::invariant(!record->hasStarted, "booking.started-once");
        Core::invariant(acknowledged || !record->needsAcknowledgement, "booking.start-needs-acknowledgement");
        record->hasStarted = true;
        record->state = RecordState::Started;
        return true;
    });
}

auto HomeRecords::finish(const Core::RequestKey& key, const Core::Reply& reply) -> std::vector<Waiter>
{
    return m_state.with(key, [&](State& state) -> std::vector<Waiter> {
        auto* record = find(state, key);
        Core::invariant(record != nullptr, "booking.in-flight-record-is-held");
        if (record == nullptr || record->reply)
            return {};
        Core::invariant(
            record->hasStarted || !std::holds_alternative<Core::Answer>(reply), "booking.answer-needs-start");
        recordReply(*record, reply);
        --state.epochs[key.prefix.epoch].inFlight;
        return std::move(record->waiters);
    });
}

auto HomeRecords::recordReply(Record& record, const Core::Reply& reply) -> void
{
    Core::invariant(record.state != RecordState::NotRun, "booking.not-run-is-final");
    if (const auto* refusal = std::get_if<Core::Refusal>(&reply)) {
        record.state = refusal->outcome == Core::RunOutcome::NotRun ? RecordState::NotRun : RecordState::Unknown;
    } else {
        record.state = RecordState::Answered;
    }
    record.reply = reply;
    const auto bytes = record.bytes - m_limits.answerReserve.value() + sizeOf(reply);
    m_budget.resize(record.bytes, bytes);
    record.bytes = bytes;
}

auto HomeRecords::markConfirmed(const Core::RequestKey& key) -> void
{
    m_state.with(key, [&](State& state) {
        if (auto* record = find(state, key))
            record->isConfirmed = true;
    });
}

auto HomeRecords::inFlight() -> std::size_t
{
    std::size_t count = 0;
    m_state.forEach([&](State& state) {
        for (const auto& [epoch, records] : state.epochs)
            count += records.inFlight;
    });
    return count;
}

auto HomeRecords::unconfirmed() -> std::vector<Outcome>
{
    std::vector<Outcome> outcomes;
    m_state.forEach([&](State& state) {
        for (const auto& [epoch, records] : state.epochs) {
            for (const auto& [name, record] : records.records) {
                const auto isFinal = record.state == RecordState::Answered || record.state == RecordState::NotRun;
                if (!isFinal || record.isConfirmed || !record.needsAcknowledgement)
                    continue;
                // The name consists of the marker added by recordKey() and the unique part of the key.
                Outcome outcome { { records.prefix, name.substr(1) }, record.request, std::nullopt };
                if (const auto* answer = std::get_if<Core::Answer>(&*record.reply))
                    outcome.answer = *answer;
                outcomes.push_back(std::move(outcome));
            }
        }
    });
    return outcomes;
}

} // namespace Ledger
