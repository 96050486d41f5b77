#pragma once

#include "runtime/asioruntime.h"

#include <thread>

namespace TestSupport {

/// Runs a runtime until it is destroyed. Declared last in a fixture, so that nothing else is destroyed before the
/// runtime has stopped.
class RuntimeThread {
public:
    explicit RuntimeThread(Runtime::AsioRuntime& runtime)
        : m_runtime(runtime)
        , m_thread([&runtime] { runtime.run(); })
    {
    }
    ~RuntimeThread()
    {
        m_runtime.stop();
        m_thread.join();
    }
    RuntimeThread(const RuntimeThread&) = delete;
    auto operator=(const RuntimeThread&) -> RuntimeThread& = delete;

private:
    Runtime::AsioRuntime& m_runtime;
    std::thread m_thread;
};

} // namespace TestSupport
