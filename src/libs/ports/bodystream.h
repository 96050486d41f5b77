#pragma once

#include "core/error.h"

#include <functional>
#include <string>

namespace Ports {

/// Body of a message that is still arriving. Its reader asks for one part at a time, so that a slow reader slows the
/// sender down, and the memory that is used is bounded by one part.
class BodyStream {
public:
    using PartCallback = std::function<void(Core::Result<std::string>)>;

    virtual ~BodyStream() = default;
    /// Calls back once, on any thread, with the next part; it is empty at the end of the body. Fails if the body broke
    /// off: the message must then not look complete to its receiver. There is at most one read at a time, and none
    /// after the end or a failure.
    virtual auto read(PartCallback callback) -> void = 0;
    /// Says that no further part is wanted, because the receiver has left. A read in progress still calls back.
    virtual auto cancel() -> void = 0;
};

} // namespace Ports
