#pragma once

#include "timeline/entry.h"

#include <optional>

namespace Timeline {

/// Criteria by which a reader selects entries; an empty member selects all.
struct Filter {
    Core::RequestId request;
    /// Selects entries of this process and entries that refer to it in a field "vm".
    Core::EntryVmId vm;
    /// Prefix of the kind, for example "booking".
    std::string kindPrefix;
    std::optional<Core::WallTime> since;
    std::optional<Core::WallTime> until;

    [[nodiscard]] auto matches(const Entry& entry) const -> bool;
};

} // namespace Timeline
