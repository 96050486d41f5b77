#include "peerstream/hopclock.h"

#include "peerstream/messagelimits.h"

namespace PeerStream {

HopClock::HopClock(Ports::CausalClock* clock)
    : m_clock(clock)
{
}

auto HopClock::stamp(std::vector<HeaderField>& headers) const -> void
{
    if (m_clock != nullptr)
        headers.push_back({ hybridTimeHeader, toString(m_clock->stamp()) });
}

auto HopClock::observe(std::string_view name, std::string_view value) const -> void
{
    if (m_clock == nullptr || name != hybridTimeHeader)
        return;
    if (const auto time = Core::parseHybridTime(value))
        m_clock->observe(*time);
}

} // namespace PeerStream
