#pragma once

#include "ports/objectstore.h"
#include "ports/scheduler.h"

#include <functional>
#include <memory>
#include <mutex>
#include <string>

namespace Configuration {

/// Watches one object of the platform's store and reports its versions. Keeps retrying while the store is unreachable.
class ObjectFollower : public std::enable_shared_from_this<ObjectFollower> {
public:
    using ChangeCallback = std::function<void(const Ports::StoredObject&)>;

    ObjectFollower(Ports::ObjectStore& store, Ports::Scheduler& scheduler, std::string name, ChangeCallback onChange);

    auto start() -> void;
    auto stop() -> void;

private:
    auto watch() -> void;
    auto handle(const Core::Result<Ports::StoredObject>& result) -> void;
    auto retryLater() -> void;

    Ports::ObjectStore& m_store;
    Ports::Scheduler& m_scheduler;
    const std::string m_name;
    const ChangeCallback m_onChange;
    std::mutex m_mutex;
    Core::Version m_version;
    std::unique_ptr<Ports::Timer> m_retry;
    bool m_isStopped = false;
};

} // namespace Configuration
