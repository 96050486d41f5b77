#include "timeline/recorder.h"

namespace Timeline {

Recorder::Recorder(Core::EntryVmId process, Clocks clocks, std::vector<EntrySink*> sinks)
    : m_process(std::move(process))
    , m_clocks(clocks)
    , m_sinks(std::move(sinks))
{
}

auto Recorder::record(Ports::Event event) -> void
{
    for (auto& field : event.fields) {
        if (field.value.size() > maximumFieldLength)
            field.value.resize(maximumFieldLength);
    }
    const Entry entry { m_clocks.causal.stamp(), m_clocks.wall.wallTime(), m_process, std::move(event) };
    for (auto* sink : m_sinks)
        sink->write(entry);
}

} // namespace Timeline
