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

    /// Removes the targets that currently accept no bookings, unless that would remove all of them.
    auto preferTargetsWithKeyPrefix(std::vector<Ports::LookupTarget>& targets) -> void
    {
        const auto hasNoKeyPrefix = [](const Ports::LookupTarget& target) { return target.keyPrefix.empty(); };
        if (std::all_of(targets.begin(), targets.end(), hasNoKeyPrefix))
            return;
        std::erase_if(targets, hasNoKeyPrefix);
        double total = 0;
        for (const auto& target : targets)
            total += target.weight.value();
        for (auto& target : targets)
            target.weight = Core::Share(target.weight.value() / total);
    }

} // namespace

RequestService::RequestService(Dependencies dependencies)
    : m_dependencies(dependencies)
{
}

auto RequestService::lookup(const Ports::LookupQuery& query) -> Core::Result<Ports::LookupAnswer>
{
    auto answer = m_dependencies.lookups.lookup(query);
    if (!answer)
        return answer;
    const auto configuration = m_dependencies.configuration.current();
    const auto* policy = configuration->find(query.service);
    for (auto& target : answer->targets)
        setKeyPrefix(target, policy);
    if (policy != nullptr && !policy->isIdempotent)
        preferTargetsWithKeyPrefix(answer->targets);
    return answer;
}

auto RequestService::handle(Core::ServiceRequest request, Core::ReplyCallback callback) -> void
{
    const auto id = request.id;
    m_dependencies.events.record({ requestReceived, id, { { "service", request.service.value() } } });
    auto respond = [this, id, callback = std::move(callback)](Core::Reply reply) {
        recordReply(m_dependencies.events, id, reply);
        callback(std::move(reply));
    };
    const auto configuration = m_dependencies.configuration.current();
    const auto* policy = configuration->find(request.service);
    if (policy == nullptr) {
        // Another entry VM that already has the service in force may have run the request with this key.
        respond(Core::Refusal { request.key ? Core::RunOutcome::Unknown : Core::RunOutcome::NotRun,
            Core::RefusalReason::UnknownService, "no service named '" + request.service.value() + "'",
            "use a service named in the steering document", {} });
        return;
    }
    if (request.key) {
        m_dependencies.bookings.execute(std::move(request), *policy, std::move(respond));
        return;
    }
    if (auto refusal = validate(request, *policy)) {
        respond(std::move(*refusal));
        return;
    }
    m_dependencies.dispatcher.dispatch(std::move(request), *policy, std::move(respond));
}

auto RequestService::validate(const Core::ServiceRequest& request, const Configuration::ServicePolicy& policy) const
    -> std::optional<Core::Refusal>
{
    if (m_refusesNew) {
        return notRun(Core::RefusalReason::ShuttingDown, "the entry VM is stopping",
            "use another entry VM from a new look-up answer");
    }
    if (request.body.size() > policy.maximumBody.value()) {
        return notRun(Core::RefusalReason::RequestTooLarge, "the body is larger than the service accepts",
            "send at most " + std::to_string(policy.maximumBody.value()) + " bytes");
    }
    if (request.deadline <= m_dependencies.clock.now())
        return notRun(Core::RefusalReason::DeadlinePassed, "the deadline has passed", "send it with a later deadline");
    if (policy.isIdempotent)
        return std::nullopt;
    auto refusal = notRun(Core::RefusalReason::KeyRequired, "this service needs an idempotency key",
        "append ':' and a unique id to the given prefix, or to one from a look-up answer");
    refusal.keyPrefix = m_dependencies.keyPrefixes.currentPrefix(policy.needsBackup);
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
    // The key prefix of this entry VM in the membership may be older than its newest epoch.
    const auto own = m_dependencies.keyPrefixes.currentPrefix(policy->needsBackup);
    if (const auto parsed = Core::parseKeyPrefix(own); parsed && parsed->home == target.vm)
        target.keyPrefix = own;
}

} // namespace Serving
