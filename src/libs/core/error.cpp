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

auto parseErrorKind(std::string_view text) -> ErrorKind
{
    for (auto value = static_cast<int>(ErrorKind::InvalidArgument); value < static_cast<int>(ErrorKind::Internal);
         ++value) {
        const auto kind = static_cast<ErrorKind>(value);
        if (toString(kind) == text)
            return kind;
    }
    return ErrorKind::Internal;
}

auto describe(const Error& error) -> std::string
{
    return toString(error.kind) + ": " + error.message + "; " + error.remedy;
}

} // namespace Core
