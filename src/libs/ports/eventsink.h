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

/// Something that happened in this process and belongs on its time line.
struct Event {
    EventKind kind;
    /// Empty when the event belongs to no single request.
    Core::RequestId request;
    std::vector<EventField> fields;
};

/// Takes events for the time line and the log; never blocks on I/O.
class EventSink {
public:
    virtual ~EventSink() = default;
    virtual auto record(Event event) -> void = 0;
};

} // namespace Ports
