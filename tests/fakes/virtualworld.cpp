#include "fakes/virtualworld.h"

namespace Fakes {

namespace {

    class VirtualTimer : public Ports::Timer {
    public:
        explicit VirtualTimer(std::shared_ptr<bool> isCancelled)
            : m_isCancelled(std::move(isCancelled))
        {
        }
        ~VirtualTimer() override { *m_isCancelled = true; }
        auto cancel() -> void override { *m_isCancelled = true; }

    private:
        std::shared_ptr<bool> m_isCancelled;
    };

    /// Calls the callback once, on the reply or on the timeout, whichever comes first.
    struct PendingCall {
        Ports::PeerTransport::ReplyCallback callback;

        auto finish(Core::Result<std::string> result) -> void
        {
            if (auto once = std::exchange(callback, nullptr))
                once(std::move(result));
        }
    };

} // namespace

auto VirtualWorld::post(const NodeId& node, Core::Duration delay, Ports::Scheduler::Task task) -> void
{
    m_tasks.push({ m_now + delay, ++m_sequence, node, m_generations[node], std::move(task) });
}

auto VirtualWorld::bind(const NodeId& node, Ports::Scheduler::Task task) -> Ports::Scheduler::Task
{
    return [this, node, generation = m_generations[node], task = std::move(task)] {
        if (generation == m_generations[node])
            post(node, {}, task);
    };
}

auto VirtualWorld::runFor(Core::Duration duration) -> void
{
    const auto end = m_now + duration;
    while (!m_tasks.empty() && m_tasks.top().due <= end) {
        auto task = m_tasks.top();
        m_tasks.pop();
        m_now = std::max(m_now, task.due);
        execute(std::move(task));
    }
    m_now = end;
}

auto VirtualWorld::execute(Task task) -> void
{
    if (task.generation != m_generations[task.node])
        return;
    if (const auto paused = m_paused.find(task.node); paused != m_paused.end())
        paused->second.push_back(std::move(task));
    else
        task.run();
}

auto VirtualWorld::crash(const NodeId& node) -> void
{
    ++m_generations[node];
    m_paused.erase(node);
    m_handlers.erase(node);
}

auto VirtualWorld::pause(const NodeId& node) -> void { m_paused.try_emplace(node); }

auto VirtualWorld::resume(const NodeId& node) -> void
{
    const auto paused = m_paused.extract(node);
    if (paused.empty())
        return;
    for (auto& task : paused.mapped()) {
        task.due = m_now;
        m_tasks.push(std::move(task));
    }
}

auto VirtualWorld::cut(const NodeId& one, const NodeId& other) -> void { m_cutLinks.insert(std::minmax(one, other)); }

auto VirtualWorld::isCut(const NodeId& one, const NodeId& other) const -> bool
{
    return m_cutLinks.contains(std::minmax(one, other));
}

auto VirtualWorld::isLost(const NodeId& from, const NodeId& to) -> bool
{
    return isCut(from, to) || chance(m_faults.loss);
}

auto VirtualWorld::between(Core::Duration low, Core::Duration high) -> Core::Duration
{
    return Core::Duration(std::uniform_int_distribution<Core::Duration::rep>(low.count(), high.count())(m_random));
}

auto VirtualWorld::registerHandler(const NodeId& node, std::string kind, Ports::PeerRouter::Handler handler) -> void
{
    m_handlers[node][std::move(kind)] = std::move(handler);
}

auto VirtualWorld::call(const NodeId& from, const NodeId& to, Ports::PeerMessage message, Core::Duration timeout,
    Ports::PeerTransport::ReplyCallback callback) -> void
{
    ++m_traffic.messages;
    m_traffic.bytes += message.payload.size();
    const auto pending = std::make_shared<PendingCall>(PendingCall { std::move(callback) });
    post(from, timeout,
        [pending] { pending->finish(Core::fail(Core::ErrorKind::Timeout, "no reply in time", "try again")); });
    const auto generation = m_generations[from];
    const auto respond = [this, from, to, generation, pending](Core::Result<std::string> result) {
        ++m_traffic.messages;
        m_traffic.bytes += result ? result->size() : 0;
        if (generation == m_generations[from] && !isLost(to, from))
            post(from, delay(), [pending, result = std::move(result)] { pending->finish(result); });
    };
    const auto copies = chance(m_faults.duplication) ? 2 : 1;
    for (auto copy = 0; copy < copies; ++copy) {
        if (isLost(from, to))
            continue;
        // The message goes to the process that runs at the address on arrival, which may have restarted since.
        m_tasks.push({ m_now + delay(), ++m_sequence, {}, m_generations[{}], [this, to, message, respond] {
                          post(to, {}, [this, to, message, respond] {
                              if (const auto handler = m_handlers[to].find(message.kind);
                                  handler != m_handlers[to].end())
                                  handler->second(message.payload, respond);
                          });
                      } });
    }
}

auto VirtualNode::after(Core::Duration delay, Task task) -> std::unique_ptr<Ports::Timer>
{
    auto isCancelled = std::make_shared<bool>(false);
    m_world.post(m_id, delay, [isCancelled, task = std::move(task)] {
        if (!*isCancelled)
            task();
    });
    return std::make_unique<VirtualTimer>(std::move(isCancelled));
}

} // namespace Fakes
