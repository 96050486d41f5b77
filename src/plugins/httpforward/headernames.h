#pragma once

#include <string>

namespace HttpForward {

/// Names of the headers by which callers, this system and upstreams tell each other about a request.
struct HeaderNames {
    /// Id of the request; callers set it and upstreams repeat it.
    std::string requestId;
    /// Milliseconds that the sender still waits.
    std::string timeLeft;
    /// Cookie that names the object that the request is about.
    std::string objectCookie;
    /// Upstream that alone may run the request.
    std::string expectedUpstream;
    /// Upstream that answers.
    std::string upstream;
    /// Running requests, waiting requests and slots of the upstream, with commas between.
    std::string load;
    /// The upstream did not run the request.
    std::string notRun;
    /// Milliseconds for which the upstream stays cold.
    std::string coldLeft;
};

} // namespace HttpForward
