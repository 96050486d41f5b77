#include "support/heldthreads.h"

#include <latch>
#include <memory>

namespace TestSupport {

auto holdThreads(Ports::Scheduler& runtime, std::size_t threadCount) -> std::promise<void>
{
    std::promise<void> release;
    const auto released = release.get_future().share();
    const auto held = std::make_shared<std::latch>(static_cast<std::ptrdiff_t>(threadCount));
    for (std::size_t index = 0; index < threadCount; ++index) {
        runtime.post([held, released] {
            held->count_down();
            released.wait();
        });
    }
    held->wait();
    return release;
}

} // namespace TestSupport
