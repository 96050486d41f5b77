#include "storesync/peerrefresh.h"

namespace StoreSync {

namespace {

    constexpr Core::Millis queryInterval { 400 };

} // namespace

PeerRefresh::PeerRefresh(Environment environment)
    : m_environment(std::move(environment))
{
}

auto PeerRefresh::add(const Ports::CollectionName& name, std::shared_ptr<CollectionFollower> follower) -> void
{
    m_followers[name] = std::move(follower);
}

auto PeerRefresh::start() -> void
{
    {
        const std::lock_guard lock(m_mutex);
        if (std::exchange(m_isRunning, true))
            return;
    }
    queryNextPeer();
}

auto PeerRefresh::stop() -> void
{
    const std::lock_guard lock(m_mutex);
    m_isRunning = false;
    m_timer.reset();
}

auto PeerRefresh::schedule() -> void
{
    const std::lock_guard lock(m_mutex);
    if (!m_isRunning)
        return;
    m_timer = m_environment.follower.scheduler.after(queryInterval, [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->queryNextPeer();
    });
}

auto PeerRefresh::queryNextPeer() -> void
{
    const auto peers = m_environment.peers();
    if (peers.empty()) {
        schedule();
        return;
    }
    const auto peer = peers[m_nextPeer++ % peers.size()];
    m_environment.port.fetch(peer, m_environment.mirror.revisions(),
        [weak = weak_from_this(), peer](const Core::Result<MirrorResponse>& response) {
            if (const auto self = weak.lock())
                self->handleResponse(peer, response);
        });
}

auto PeerRefresh::handleResponse(const Core::Address& peer, const Core::Result<MirrorResponse>& response) -> void
{
    bool isRunning = false;
    {
        const std::lock_guard lock(m_mutex);
        isRunning = m_isRunning;
    }
    if (isRunning && response) {
        for (const auto& [name, list] : response->lists) {
            const auto found = m_followers.find(name);
            if (found == m_followers.end() || !found->second->applyIfNewer(list))
                continue;
            m_environment.follower.events.record({ Ports::EventKind("store.learnt-from-peer"), {},
                { { "collection", name.value() }, { "peer", peer.value() },
                    { "revision", std::to_string(list.revision.value()) } } });
        }
        if (response->isStoreReachable)
            m_environment.onRefreshed();
    }
    schedule();
}

} // namespace StoreSync
