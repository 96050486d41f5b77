#include "support/virtualtime.h"

#include <algorithm>

namespace TestSupport {

class VirtualTime::VirtualTimer : public Ports::Timer {
public:
    VirtualTimer(std::weak_ptr<Tasks> tasks, Position position)
        : m_tasks(std::move(tasks))
        , m_position(position)
    {
    }
    ~VirtualTimer() override { remove(); }
    auto cancel() -> void override { remove(); }

private:
    auto remove() -> void
    {
        if (const auto tasks = m_tasks.lock())
            tasks->erase(m_position);
    }

    std::weak_ptr<Tasks> m_tasks;
    Position m_position;
};

auto VirtualTime::post(Task task) -> void { schedule(Core::Duration::zero(), std::move(task)); }

auto VirtualTime::after(Core::Duration delay, Task task) -> std::unique_ptr<Ports::Timer>
{
    return std::make_unique<VirtualTimer>(m_tasks, add(delay, std::move(task)));
}

auto VirtualTime::schedule(Core::Duration delay, Task task) -> void { add(delay, std::move(task)); }

auto VirtualTime::runUntil(Core::Instant end) -> void
{
    while (!m_tasks->empty() && m_tasks->begin()->first.first <= end) {
        auto next = m_tasks->extract(m_tasks->begin());
        m_now = std::max(m_now, next.key().first);
        next.mapped()();
    }
    m_now = std::max(m_now, end);
}

auto VirtualTime::add(Core::Duration delay, Task task) -> Position
{
    const Position position { m_now + delay, m_nextSequence++ };
    m_tasks->emplace(position, std::move(task));
    return position;
}

} // namespace TestSupport
