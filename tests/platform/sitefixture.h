#pragma once

#include "platform/platformsite.h"

#include <chrono>
#include <thread>

namespace PlatformTest {

/// Waits until the condition holds. Returns false if it does not hold within the limit.
template <typename Condition> auto holdsWithin(Core::Millis limit, Condition condition) -> bool
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (std::chrono::steady_clock::now() < end) {
        if (condition())
            return true;
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return condition();
}

/// A small site whose two entry VMs are ready.
struct SiteFixture {
    SiteFixture()
    {
        site.configure(3);
        for (int vm = 0; vm < 2; ++vm)
            site.startEntryVm(vm);
        for (int vm = 0; vm < 2; ++vm)
            site.waitUntilReady(vm);
    }

    auto statusOf(int vm, const std::string& id, const std::string& target = "/stock/7") -> int
    {
        const auto reply = site.send(vm, id, target);
        return reply ? reply->status : 0;
    }

    PlatformSite site { DRAGONFLYWINCH_BINARY, {} };
};

} // namespace PlatformTest
