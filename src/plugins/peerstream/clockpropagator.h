#pragma once

#include "peerstream/h2session.h"
#include "ports/causalclock.h"

namespace PeerStream {

/// Propagates the hybrid logical clock in message headers between entry VMs. Does nothing if the clock is null.
class ClockPropagator {
public:
    explicit ClockPropagator(Ports::CausalClock* clock);

    /// Adds a timestamp from the clock to the headers of an outgoing message.
    auto stamp(std::vector<HeaderField>& headers) const -> void;
    /// Passes the header's timestamp to the clock if the header is hybridTimeHeader. Malformed timestamps are ignored.
    auto observe(std::string_view name, std::string_view value) const -> void;

private:
    Ports::CausalClock* m_clock;
};

} // namespace PeerStream
