#include "configuration/objectfollower.h"

namespace Configuration {

namespace {

    constexpr Core::Millis watchTimeout { 20'000 };
    constexpr Core::Millis retryDelay { 500 };

} // namespace

ObjectFollower::ObjectFollower(
    Ports::ObjectStore& store, Ports::Scheduler& scheduler, std::string name, ChangeCallback onChange)
    : m_store(store)
    , m_scheduler(scheduler)
    , m_name(std::move(name))
    , m_onChange(std::move(onChange))
{
}

auto ObjectFollower::start() -> void { watch(); }

auto ObjectFollower::stop() -> void
{
    const std::lock_guard lock(m_mutex);
    m_isStopped = true;
    m_retry.reset();
}

auto ObjectFollower::watch() -> void
{
    Core::Version after;
    {
        const std::lock_guard lock(m_mutex);
        if (m_isStopped)
            return;
        after = m_version;
    }
    m_store.watch(m_name, after, watchTimeout,
        [self = shared_from_this()](const Core::Result<Ports::StoredObject>& result) { self->handle(result); });
}

auto ObjectFollower::handle(const Core::Result<Ports::StoredObject>& result) -> void
{
    if (!result) {
        if (result.error().kind == Core::ErrorKind::Timeout)
            watch();
        else
            retryLater();
        return;
    }
    {
        const std::lock_guard lock(m_mutex);
        if (result->version > m_version)
            m_version = result->version;
    }
    m_onChange(*result);
    watch();
}

auto ObjectFollower::retryLater() -> void
{
    const std::lock_guard lock(m_mutex);
    if (!m_isStopped)
        m_retry = m_scheduler.after(retryDelay, [self = shared_from_this()] { self->watch(); });
}

} // namespace Configuration
