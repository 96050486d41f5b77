#pragma once

#include "storesync/mirrorport.h"

#include <string>

namespace StoreSync::detail {

/// Interval between polls while nobody has fresh copies, or while this VM reads the store but does not reach it.
inline constexpr Core::Millis retryInterval { 400 };
/// Interval between attempts at the start: the VMs that are asked may have started at the same moment.
inline constexpr Core::Millis startRetryInterval { 100 };
/// Time for which a VM keeps reading the store once it has begun to, so that a source that comes and goes does not
/// cause a list each time.
inline constexpr Core::Millis shortestReadTime { 5000 };

/// Returns the age in milliseconds, for logs.
inline auto describeAge(const StoreContact& contact) -> std::string
{
    if (!contact.age)
        return "unknown";
    return std::to_string(std::chrono::duration_cast<Core::Millis>(*contact.age).count());
}

} // namespace StoreSync::detail
