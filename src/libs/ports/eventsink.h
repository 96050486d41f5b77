#pragma once

#include "core/ids.h"
#include "core/strongtype.h"

#include <string>
#include <vector>

namespace Ports {

/// Dotted name of a kind of event, for example "booking.started".
using EventKind = Core::StrongType<struct EventKindTag, std::string>;

struct EventField {
    std::string name;
    std::string value;
};

/// Event of this process, to be recorded on its timeline.
struct Event {
    EventKind kind;
    /// Empty if the event does not concern a single request.
    Core::RequestId request;
    std::vector<EventField> fields;
};

/// Records events for the timeline and the log; never blocks on I/O.
class EventSink {
public:
    virtual ~EventSink() = default;
    virtual auto record(Event event) -> void = 0;
};

} // namespace Ports
