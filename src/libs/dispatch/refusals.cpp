#include "dispatch/refusals.h"

namespace Dispatch {

namespace {

    struct Text {
        const char* message;
        const char* remedy;
    };

    auto textFor(Core::RefusalReason reason) -> Text
    {
        switch (reason) {
        case Core::RefusalReason::DeadlinePassed:
            return { "the deadline passed before the request was answered", "send it with a later deadline" };
        case Core::RefusalReason::DeadlineUnreachable:
            return { "the expected wait is longer than the deadline allows", "send it later or with a later deadline" };
        case Core::RefusalReason::NoUpstream:
            return { "no upstream of the service accepts requests here",
                "try another entry VM; operators check the service's upstreams" };
        case Core::RefusalReason::RequestQuarantined:
            return { "requests with this content crashed upstreams",
                "do not send it again; operators find the request in the timeline" };
        case Core::RefusalReason::ShuttingDown:
            return { "this entry VM is stopping", "try another entry VM" };
        case Core::RefusalReason::UpstreamFailed:
            return { "the upstream's connection ended before its answer", "retry with the same idempotency key" };
        case Core::RefusalReason::UpstreamTimeout:
            return { "the upstream did not answer in time", "retry with the same idempotency key" };
        case Core::RefusalReason::UpstreamAnswerInvalid:
            return { "the upstream's answer was invalid", "retry with the same idempotency key" };
        default:
            return { "too many requests are waiting", "try again later" };
        }
    }

} // namespace

auto refusalFor(Core::RunOutcome outcome, Core::RefusalReason reason) -> Core::Refusal
{
    const auto text = textFor(reason);
    return { outcome, reason, text.message, text.remedy, {} };
}

} // namespace Dispatch
