#pragma once

#include "core/error.h"
#include "core/ids.h"
#include "core/units.h"

#include <functional>
#include <string>

namespace Ports {

/// Value of an object in the platform's store, with the version that a conditional update refers to.
struct StoredObject {
    Core::Version version;
    std::string text;
};

/// The platform's object API. It is slow, rate-limited and at times unavailable, so nothing on the request path waits
/// for it.
class ObjectStore {
public:
    using ObjectCallback = std::function<void(Core::Result<StoredObject>)>;
    using VersionCallback = std::function<void(Core::Result<Core::Version>)>;

    virtual ~ObjectStore() = default;
    /// Fails with NotFound if the object does not exist.
    virtual auto read(const std::string& name, ObjectCallback callback) -> void = 0;
    /// Writes the object if it still has the expected version (0 if it must not exist). Fails with Conflict if it has
    /// another version, and with OutcomeUnknown if the response was lost.
    virtual auto write(const std::string& name, Core::Version expected, std::string text, VersionCallback callback)
        -> void
        = 0;
    /// Calls back once, when the version is higher than the given one or with Timeout after at most the given time.
    virtual auto watch(const std::string& name, Core::Version after, Core::Duration timeout, ObjectCallback callback)
        -> void
        = 0;
};

} // namespace Ports
