#include "forwarding/noticeoutbox.h"

#include <algorithm>

namespace Forwarding {

NoticeOutbox::NoticeOutbox(Environment environment)
    : m_environment(std::move(environment))
{
}

auto NoticeOutbox::add(const UpstreamNotice& notice) -> void
{
    const std::lock_guard lock(m_mutex);
    const auto now = m_environment.clock.now();
    if (const auto earlier = m_newest.find(notice.upstream); earlier != m_newest.end())
        m_entries.erase(earlier->second);
    m_newest[notice.upstream] = ++m_lastSequence;
    m_entries[m_lastSequence] = { notice, now };
    if (!m_timer)
        schedule(std::max<Core::Duration>(m_nextSend - now, {}));
}

auto NoticeOutbox::schedule(Core::Duration delay) -> void
{
    m_timer = m_environment.scheduler.after(delay, [this] { sendDueNotices(); });
}

auto NoticeOutbox::sendDueNotices() -> void
{
    const auto peers = m_environment.peers();
    std::vector<Message> messages;
    {
        const std::lock_guard lock(m_mutex);
        const auto now = m_environment.clock.now();
        m_nextSend = now + sendInterval;
        dropOldEntries(now);
        std::erase_if(m_peers, [&](const auto& item) {
            return !item.second.isReplyPending && std::find(peers.begin(), peers.end(), item.first) == peers.end();
        });
        for (const auto& peer : peers) {
            if (auto message = messageFor(peer, now))
                messages.push_back(std::move(*message));
        }
        if (m_entries.empty())
            m_timer.reset();
        else
            schedule(sendInterval);
    }
    for (const auto& message : messages) {
        m_environment.port.send(message.peer, message.notices,
            [this, peer = message.peer, last = message.last](
                const Core::Result<void>& result) { recordReply(peer, last, result.has_value()); });
    }
}

auto NoticeOutbox::dropOldEntries(Core::Instant now) -> void
{
    while (!m_entries.empty() && now - m_entries.begin()->second.observedAt >= noticeLifetime) {
        m_newest.erase(m_entries.begin()->second.notice.upstream);
        m_entries.erase(m_entries.begin());
    }
}

auto NoticeOutbox::messageFor(const Core::Address& address, Core::Instant now) -> std::optional<Message>
{
    auto& peer = m_peers[address];
    if (peer.isReplyPending)
        return std::nullopt;
    Message message { address, peer.confirmed, {} };
    for (auto entry = m_entries.upper_bound(peer.confirmed);
         entry != m_entries.end() && message.notices.size() < maximumNoticesPerMessage; ++entry) {
        auto notice = entry->second.notice;
        const auto age = now - entry->second.observedAt;
        notice.coldRemaining = std::max<Core::Duration>(notice.coldRemaining - age, {});
        message.notices.push_back(std::move(notice));
        message.last = entry->first;
    }
    if (message.notices.empty())
        return std::nullopt;
    peer.isReplyPending = true;
    return message;
}

auto NoticeOutbox::recordReply(const Core::Address& address, Sequence last, bool isConfirmed) -> void
{
    const std::lock_guard lock(m_mutex);
    auto& peer = m_peers[address];
    peer.isReplyPending = false;
    if (isConfirmed)
        peer.confirmed = std::max(peer.confirmed, last);
}

} // namespace Forwarding
