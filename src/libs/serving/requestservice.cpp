#include "serving/requestservice.h"

#include <algorithm>

namespace Serving {

namespace {

    const Ports::EventKind requestReceived { "request.received" };
    const Ports::EventKind requestAnswered { "request.answered" };
    const Ports::EventKind requestRefused { "request.refused" };

    auto notRun(Core::RefusalReason reason, std::string message, std::string remedy) -> Core::Refusal
    {
        return { Core::RunOutcome::NotRun, reason, std::move(message), std::move(remedy), {} };
    }

    auto recordReply(Ports::EventSink& events, const Core::RequestId& id, const Core::Reply& reply) -> void
    {
        if (const auto* refusal = std::get_if<Core::Refusal>(&reply)) {
            events.record({ requestRefused, id,
                { { "outcome", toString(refusal->outcome) }, { "reason", toString(refusal->reason) } } });
            return;
        }
        events.record({ requestAnswered, id, { { "upstream", std::get<Core::Answer>(reply).upstream.value() } } });
    }

    /// Leaves out targets that take no bookings now, unless none does.
    auto preferTargetsWithKeys(std::vector<Ports::LookupTarget>& targets) -> void
    {
        const auto isWithout = [](const Ports::LookupTarget& target) { return target.keyPrefix.empty(); };
        if (std::all_of(targets.begin(), targets.end(), isWithout))
            return;
        std::erase_if(targets, isWithout);
        double total = 0;
        for (const auto& target : targets)
            total += target.weight.value();
        for (auto& target : targets)
            target.weight = Core::Share(target.weight.value() / total);
    }

} // namespace

RequestService::RequestService(Collaborators collaborators)
    : m_collaborators(collaborators)
{
}

auto RequestService::lookup(const Ports::LookupQuery& query) -> Core::Result<Ports::LookupAnswer>
{
    auto answer = m_collaborators.lookups.lookup(query);
    if (!answer)
        return answer;
    const auto configuration = m_collaborators.configuration.current();
    const auto* policy = configuration->find(query.service);
    for (auto& target : answer->targets)
        setKeyPrefix(target, policy);
    if (policy != nullptr && !policy->isIdempotent)
        preferTargetsWithKeys(answer->targets);
    return answer;
}

auto RequestService::handle(Core::ServiceRequest request, Core::ReplyCallback callback) -> void
{
    const auto id = request.id;
    m_collaborators.events.record({ requestReceived, id, { { "service", request.service.value() } } });
    auto respond = [this, id, callback = std::move(callback)](Core::Reply reply) {
        recordReply(m_collaborators.events, id, reply);
        callback(std::move(reply));
    };
    const auto configuration = m_collaborators.configuration.current();
    const auto* policy = configuration->find(request.service);
    if (policy == nullptr) {
        // The key may have run where the service is in force already.
        respond(Core::Refusal { request.key ? Core::RunOutcome::Unknown : Core::RunOutcome::NotRun,
            Core::RefusalReason::UnknownService, "no service named '" + request.service.value() + "'",
            "use a service named in the steering document", {} });
        return;
    }
    if (request.key) {
        m_collaborators.bookings.execute(std::move(request), *policy, std::move(respond));
        return;
    }
    if (auto refusal = check(request, *policy)) {
        respond(std::move(*refusal));
        return;
    }
    m_collaborators.dispatcher.dispatch(std::move(request), *policy, std::move(respond));
}

auto RequestService::check(const Core::ServiceRequest& request, const Configuration::ServicePolicy& policy) const
    -> std::optional<Core::Refusal>
{
    if (m_refusesNew) {
        return notRun(
            Core::RefusalReason::ShuttingDown, "the entry VM is stopping", "use another one of a new look-up answer");
    }
    if (request.body.size() > policy.maximumBody.value()) {
        return notRun(Core::RefusalReason::RequestTooLarge, "the body is larger than the service accepts",
            "send at most " + std::to_string(policy.maximumBody.value()) + " bytes");
    }
    if (request.deadline <= m_collaborators.clock.now())
        return notRun(Core::RefusalReason::DeadlinePassed, "the deadline has passed", "send it with a later deadline");
    if (policy.isIdempotent)
        return std::nullopt;
    auto refusal = notRun(Core::RefusalReason::KeyRequired, "this service needs an idempotency key",
        "append ':' and a unique id to the given prefix, or to one from a look-up answer");
    refusal.keyPrefix = m_collaborators.keyPrefixes.currentPrefix(policy.needsBackup);
    return refusal;
}

auto RequestService::setKeyPrefix(Ports::LookupTarget& target, const Configuration::ServicePolicy* policy) const -> void
{
    if (policy == nullptr || policy->isIdempotent) {
        target.keyPrefix.clear();
        return;
    }
    if (!policy->needsBackup)
        target.keyPrefix = Ledger::prefixWithoutBackup(target.keyPrefix);
    else if (!Ledger::namesBackup(target.keyPrefix))
        target.keyPrefix.clear();
    // What membership says of this entry VM may be older than its newest epoch.
    const auto own = m_collaborators.keyPrefixes.currentPrefix(policy->needsBackup);
    if (const auto parsed = Core::parseKeyPrefix(own); parsed && parsed->home == target.vm)
        target.keyPrefix = own;
}

} // namespace Serving
