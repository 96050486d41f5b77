#pragma once

#include "core/units.h"
#include "forwarding/objectkey.h"

#include <unordered_map>

namespace Forwarding {

/// Share that each object has of the requests of the last seconds.
class ObjectHeat {
public:
    auto record(const ObjectKey& object, Core::Instant now) -> void;
    /// 0 to 1.
    [[nodiscard]] auto share(const ObjectKey& object) const -> double;

private:
    using Counts = std::unordered_map<ObjectKey, double>;

    auto halve(Core::Instant now) -> void;

    Counts m_counts;
    double m_total = 0;
    Core::Instant m_halvedAt;
};

} // namespace Forwarding
