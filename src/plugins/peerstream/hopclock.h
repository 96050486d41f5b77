#pragma once

#include "peerstream/h2session.h"
#include "ports/causalclock.h"

namespace PeerStream {

/// Carries the hybrid logical clock over hops between entry VMs; does nothing without a clock.
class HopClock {
public:
    explicit HopClock(Ports::CausalClock* clock);

    /// Adds a stamp to the headers of an outgoing message.
    auto stamp(std::vector<HeaderField>& headers) const -> void;
    /// Observes the stamp if the header is one; damaged stamps are ignored.
    auto observe(std::string_view name, std::string_view value) const -> void;

private:
    Ports::CausalClock* m_clock;
};

} // namespace PeerStream
