#pragma once

#include "ports/clock.h"
#include "ports/eventsink.h"

namespace EventLog {

/// Writes each event to standard error as one line of JSON: time, process, event, request and fields.
class EventLog : public Ports::EventSink {
public:
    EventLog(std::string process, const Ports::Clock& clock);

    auto record(Ports::Event event) -> void override;

private:
    std::string m_process;
    const Ports::Clock& m_clock;
};

} // namespace EventLog
