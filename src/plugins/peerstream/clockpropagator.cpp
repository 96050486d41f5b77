#include "peerstream/clockpropagator.h"

#include "peerstream/messageformat.h"

namespace PeerStream {

ClockPropagator::ClockPropagator(Ports::CausalClock* clock)
    : m_clock(clock)
{
}

auto ClockPropagator::stamp(std::vector<HeaderField>& headers) const -> void
{
    if (m_clock != nullptr)
        headers.push_back({ hybridTimeHeader, toString(m_clock->stamp()) });
}

auto ClockPropagator::observe(std::string_view name, std::string_view value) const -> void
{
    if (m_clock == nullptr || name != hybridTimeHeader)
        return;
    if (const auto time = Core::parseHybridTime(value))
        m_clock->observe(*time);
}

} // namespace PeerStream
