#include "fakes/booking/atmostoncechecker.h"

namespace Fakes {

namespace {

    const NodeId upstreamNode { "upstream" };

    auto refusal(Core::RunOutcome outcome, Core::RefusalReason reason) -> Core::Refusal
    {
        return { outcome, reason, "scripted", "scripted", {} };
    }

} // namespace

auto AtMostOnceChecker::recordRun(const std::string& key) -> std::string
{
    const auto count = ++m_runs[key];
    if (count > 1)
        m_violations.push_back("ran " + std::to_string(count) + " times: " + key);
    if (m_notRun.contains(key))
        m_violations.push_back("ran after notRun: " + key);
    return "run of " + key;
}

auto AtMostOnceChecker::recordReply(const std::string& key, const Core::Reply& reply) -> void
{
    if (const auto* answer = std::get_if<Core::Answer>(&reply)) {
        if (answer->body != "run of " + key)
            m_violations.push_back("answer of another key: " + key + " got " + answer->body);
        return;
    }
    if (std::get<Core::Refusal>(reply).outcome != Core::RunOutcome::NotRun)
        return;
    m_notRun.insert(key);
    if (m_runs.contains(key))
        m_violations.push_back("notRun after a run: " + key);
}

auto AtMostOnceChecker::runs(const std::string& key) const -> std::size_t
{
    const auto found = m_runs.find(key);
    return found == m_runs.end() ? 0 : found->second;
}

auto ScriptedUpstreams::dispatch(
    Core::ServiceRequest request, const Configuration::ServicePolicy&, Core::ReplyCallback callback) -> void
{
    using Core::RefusalReason;
    using Core::RunOutcome;
    if (request.deadline <= m_world.now()) {
        callback(refusal(RunOutcome::NotRun, RefusalReason::DeadlinePassed));
        return;
    }
    const auto respond = [this, home = m_home, callback = std::move(callback)](Core::Reply reply) {
        m_world.bind(home, [callback, reply = std::move(reply)] { callback(reply); })();
    };
    const auto selected = behaviour();
    if (selected == UpstreamBehaviour::Shed || selected == UpstreamBehaviour::CrashBeforeRun) {
        const auto isShed = selected == UpstreamBehaviour::Shed;
        respond(refusal(isShed ? RunOutcome::NotRun : RunOutcome::Unknown,
            isShed ? RefusalReason::Overloaded : RefusalReason::UpstreamFailed));
        return;
    }
    if (selected == UpstreamBehaviour::Hold) {
        m_held.push_back([this, request, respond] { run(request, false, respond); });
        return;
    }
    // Once sent, the request runs at the upstream even if the home crashes or is paused.
    const auto losesAnswer = selected == UpstreamBehaviour::RunAndLoseAnswer;
    m_world.post(
        upstreamNode, networkDelay, [this, request, losesAnswer, respond] { run(request, losesAnswer, respond); });
}

auto ScriptedUpstreams::run(
    const Core::ServiceRequest& request, bool losesAnswer, const std::function<void(Core::Reply)>& respond) -> void
{
    auto body = m_checker.recordRun(toString(*request.key));
    if (losesAnswer)
        respond(refusal(Core::RunOutcome::Unknown, Core::RefusalReason::UpstreamTimeout));
    else
        respond(Core::Answer { request.id, Core::UpstreamId("u-1"), 200, "text/plain", std::move(body) });
}

auto ScriptedUpstreams::release() -> void
{
    for (const auto& held : std::exchange(m_held, {}))
        held();
}

} // namespace Fakes
