#pragma once

#include <cstddef>

namespace PeerStream {

/// Largest payload of one message between entry VMs, in bytes: an object of the store and some room.
inline constexpr std::size_t maximumPayloadBytes = 2 * 1024 * 1024;

inline constexpr auto pathPrefix = "/peer/";
inline constexpr auto statusOk = "200";
inline constexpr auto statusFailed = "500";
inline constexpr auto errorKindHeader = "x-error-kind";
inline constexpr auto errorMessageHeader = "x-error-message";
inline constexpr auto errorRemedyHeader = "x-error-remedy";
/// Stamp of the sender's hybrid logical clock, on requests and responses.
inline constexpr auto hybridTimeHeader = "x-hybrid-time";

} // namespace PeerStream
