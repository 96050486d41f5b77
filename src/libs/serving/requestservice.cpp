#include "serving/requestservice.h"

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

} // namespace

RequestService::RequestService(Collaborators collaborators)
    : m_collaborators(collaborators)
{
}

auto RequestService::lookup(const Ports::LookupQuery& query) -> Core::Result<Ports::LookupAnswer>
{
    const auto configuration = m_collaborators.configuration.current();
    if (configuration->find(query.service) == nullptr) {
        return Core::fail(Core::ErrorKind::NotFound, "no service named '" + query.service.value() + "' is in force",
            "use a service named in the steering document, or add one to your section");
    }
    Ports::LookupAnswer answer { {}, configuration->lookupLifetime };
    const auto fleet = m_collaborators.fleet.current();
    for (const auto& vm : fleet->entryVms) {
        if (vm.state == Fleet::MemberState::Live)
            answer.targets.push_back({ vm.id, vm.address, vm.failureDomain, Core::Share(0), {} });
    }
    for (auto& target : answer.targets)
        target.weight = Core::Share(1.0 / static_cast<double>(answer.targets.size()));
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
        respond(notRun(Core::RefusalReason::UnknownService, "no service named '" + request.service.value() + "'",
            "use a service named in the steering document"));
        return;
    }
    if (request.body.size() > policy->maximumBody.value()) {
        respond(notRun(Core::RefusalReason::RequestTooLarge, "the body is larger than the service accepts",
            "send at most " + std::to_string(policy->maximumBody.value()) + " bytes"));
        return;
    }
    if (request.deadline <= m_collaborators.clock.now()) {
        respond(
            notRun(Core::RefusalReason::DeadlinePassed, "the deadline has passed", "send it with a later deadline"));
        return;
    }
    if (!policy->isIdempotent && !request.key) {
        respond(notRun(Core::RefusalReason::KeyRequired, "this service needs an idempotency key",
            "take a key prefix from a look-up answer and append ':' and a unique id"));
        return;
    }
    m_collaborators.dispatcher.dispatch(std::move(request), *policy, std::move(respond));
}

} // namespace Serving
