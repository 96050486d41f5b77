#pragma once

#include <cstddef>

namespace PeerStream {

/// Maximum payload size of a message between entry VMs: an object of the store plus headroom.
inline constexpr std::size_t maximumPayloadBytes = 2 * 1024 * 1024;

inline constexpr auto pathPrefix = "/peer/";
inline constexpr auto statusOk = "200";
inline constexpr auto statusFailed = "500";
inline constexpr auto errorKindHeader = "x-error-kind";
inline constexpr auto errorMessageHeader = "x-error-message";
inline constexpr auto errorRemedyHeader = "x-error-remedy";
/// Carries a timestamp from the sender's hybrid logical clock in requests and responses.
inline constexpr auto hybridTimeHeader = "x-hybrid-time";

} // namespace PeerStream
