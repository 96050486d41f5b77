#pragma once

#include "core/error.h"
#include "core/ids.h"

#include <string>
#include <vector>

namespace App {

/// Settings of the serve command.
struct ServeSettings {
    Core::EntryVmId id;
    Core::FailureDomainId failureDomain;
    Core::RegionId region;
    Core::Address listen;
    Core::Address peerListen;
    Core::Address store;
    std::size_t threads = 0;
};

/// Reads flags, then DRAGONFLYWINCH_* environment variables; the error lists every problem.
auto parseServeSettings(const std::vector<std::string>& arguments) -> Core::Result<ServeSettings>;

} // namespace App
