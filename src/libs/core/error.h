#pragma once

#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace Core {

enum class ErrorKind {
    InvalidArgument,
    InvalidDocument,
    InvalidMessage,
    NotFound,
    Conflict,
    TooLarge,
    Unreachable,
    Timeout,
    OutcomeUnknown,
    Unavailable,
    Internal,
};

auto toString(ErrorKind kind) -> std::string;
/// Inverse of toString(); Internal for any other text.
auto parseErrorKind(std::string_view text) -> ErrorKind;

/// Failure of an operation: what happened, and what the reader can do about it.
struct Error {
    ErrorKind kind = ErrorKind::Internal;
    std::string message;
    std::string remedy;
};

/// One line: kind, message and remedy.
auto describe(const Error& error) -> std::string;

template <typename T> using Result = tl::expected<T, Error>;

inline auto fail(ErrorKind kind, std::string message, std::string remedy) -> tl::unexpected<Error>
{
    return tl::unexpected<Error>(Error { kind, std::move(message), std::move(remedy) });
}

} // namespace Core
