#pragma once

#include "core/strongtype.h"

#include <cstdint>

namespace Core {

/// Number of a client's connection within one server; the first one is 1.
using ConnectionNumber = StrongType<struct ConnectionNumberTag, std::uint64_t>;
/// Place of a request among those that were read from its connection; the first one is 1.
using RequestNumber = StrongType<struct RequestNumberTag, std::uint64_t>;

/// Where a request came in.
struct RequestOrigin {
    ConnectionNumber connection;
    RequestNumber request;

    friend auto operator==(const RequestOrigin&, const RequestOrigin&) -> bool = default;
};

} // namespace Core
