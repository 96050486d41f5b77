#pragma once

#include "peerstream/h2session.h"
#include "ports/causalclock.h"

namespace PeerStream {

/// Propagates the hybrid logical clock in message headers between entry VMs. Does nothing if the clock is null.
class ClockPropagator {
public:
    explicit ClockPropagator(Ports::CausalClock* clock);

    /// Adds a clock stamp to the headers of an outgoing message.
    auto stamp(std::vector<HeaderField>& headers) const -> void;
    /// Passes the stamp to the clock if the header is a clock stamp. Malformed stamps are ignored.
    auto observe(std::string_view name, std::string_view value) const -> void;

private:
    Ports::CausalClock* m_clock;
};

} // namespace PeerStream
