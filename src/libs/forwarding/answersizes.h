#pragma once

#include "core/sharded.h"
#include "core/units.h"
#include "forwarding/routingconfiguration.h"

#include <optional>
#include <unordered_map>

namespace Forwarding {

/// Estimates how large the whole answers of each route are. Thread-safe.
class AnswerSizes {
public:
    /// Upper bound on the routes of a shard that are remembered.
    static constexpr std::size_t maximumRoutesPerShard = 64;

    /// Returns a size that few answers of the route exceed; none if it has not had any.
    auto usual(const RouteId& route) -> std::optional<Core::Bytes>;
    auto record(const RouteId& route, Core::Bytes size) -> void;

private:
    Core::Sharded<std::unordered_map<RouteId, std::uint64_t>> m_sizes;
};

} // namespace Forwarding
