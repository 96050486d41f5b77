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
/// Inverse of toString(); returns Internal for any other text.
auto parseErrorKind(std::string_view text) -> ErrorKind;

/// Failure of an operation, with a message and a remedy that the reader can apply.
struct Error {
    ErrorKind kind = ErrorKind::Internal;
    std::string message;
    std::string remedy;
};

/// Formats kind, message and remedy as one line.
auto describe(const Error& error) -> std::string;

template <typename T> using Result = tl::expected<T, Error>;

inline auto fail(ErrorKind kind, std::string message, std::string remedy) -> tl::unexpected<Error>
{
    return tl::unexpected<Error>(Error { kind, std::move(message), std::move(remedy) });
}

} // namespace Core
