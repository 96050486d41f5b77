#include "ports/exchangeclient.h"

namespace Ports {

auto toString(ExchangeOutcome outcome) -> std::string
{
    switch (outcome) {
    case ExchangeOutcome::Answered:
        return "answered";
    case ExchangeOutcome::NotRun:
        return "not-run";
    case ExchangeOutcome::Misdirected:
        return "misdirected";
    case ExchangeOutcome::Withdrawn:
        return "withdrawn";
    case ExchangeOutcome::OwnShortage:
        return "own-shortage";
    case ExchangeOutcome::NotSent:
        return "not-sent";
    case ExchangeOutcome::Lost:
        return "lost";
    case ExchangeOutcome::TimedOut:
        return "timed-out";
    case ExchangeOutcome::Invalid:
        return "invalid";
    case ExchangeOutcome::Cancelled:
        break;
    }
    return "cancelled";
}

} // namespace Ports
