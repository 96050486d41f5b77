#pragma once

#include <string>

namespace HttpForward {

/// Names of the headers that callers, this system and upstreams use to exchange request metadata.
struct HeaderNames {
    /// Id of the request; set by callers and echoed by upstreams.
    std::string requestId;
    /// Time in milliseconds for which the sender still waits for the answer.
    std::string timeLeft;
    /// Name of the cookie whose value is the key of the object that the request concerns.
    std::string objectCookie;
    /// Id of the upstream that the request is sent to; no other upstream may run it.
    std::string expectedUpstream;
    /// Id of the upstream that answers.
    std::string upstream;
    /// Running requests, waiting requests and slots of the upstream, separated by commas.
    std::string load;
    /// Present if the upstream did not run the request.
    std::string notRun;
    /// Remaining time in milliseconds for which the upstream is cold.
    std::string coldRemaining;
    /// The value "1" says that the upstream is leaving.
    std::string leaving;
    /// Name of the organisation that a request belongs to; set by this system.
    std::string organisation;
};

} // namespace HttpForward
