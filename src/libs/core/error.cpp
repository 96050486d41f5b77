#include "core/error.h"

namespace Core {

auto toString(ErrorKind kind) -> std::string
{
    switch (kind) {
    case ErrorKind::InvalidArgument:
        return "invalid-argument";
    case ErrorKind::InvalidDocument:
        return "invalid-document";
    case ErrorKind::InvalidMessage:
        return "invalid-message";
    case ErrorKind::NotFound:
        return "not-found";
    case ErrorKind::Conflict:
        return "conflict";
    case ErrorKind::TooLarge:
        return "too-large";
    case ErrorKind::Unreachable:
        return "unreachable";
    case ErrorKind::Timeout:
        return "timeout";
    case ErrorKind::OutcomeUnknown:
        return "outcome-unknown";
    case ErrorKind::Unavailable:
        return "unavailable";
    case ErrorKind::Internal:
        break;
    }
    return "internal";
}

auto describe(const Error& error) -> std::string
{
    return toString(error.kind) + ": " + error.message + "; " + error.remedy;
}

} // namespace Core
