#pragma once

#include "forwarding/upstreamnotice.h"
#include "ports/clock.h"
#include "ports/scheduler.h"

#include <map>
#include <memory>
#include <mutex>
#include <optional>

namespace Forwarding {

/// Spreads this entry VM's notices about upstreams. Sends each peer all notices that are new to it in one message,
/// waits for the reply before the next, and keeps only the newest notice about an upstream. The traffic is thereby
/// bounded by the number of peers, however many upstreams change at the same time.
class NoticeOutbox {
public:
    struct Environment {
        const Ports::Clock& clock;
        Ports::Scheduler& scheduler;
        UpstreamNoticePort& port;
        /// Returns the entry VMs that receive the notices.
        std::function<std::vector<Core::Address>()> peers;
    };

    /// Shortest time between two messages to the same peer.
    static constexpr Core::Millis sendInterval { 200 };
    /// Age at which a notice is dropped: the upstream reports to the store as well.
    static constexpr Core::Millis noticeLifetime { 1000 };
    /// Number of notices in a message; the others go with the next one.
    static constexpr std::size_t maximumNoticesPerMessage = 256;

    explicit NoticeOutbox(Environment environment);

    auto add(const UpstreamNotice& notice) -> void;

private:
    /// Position of a notice in the order of their arrival.
    using Sequence = std::uint64_t;

    struct Entry {
        UpstreamNotice notice;
        Core::Instant observedAt;
    };

    struct Peer {
        /// All notices up to this one have been confirmed.
        Sequence confirmed = 0;
        bool isReplyPending = false;
    };

    struct Message {
        Core::Address peer;
        Sequence last = 0;
        UpstreamNotices notices;
    };

    auto sendDueNotices() -> void;
    auto schedule(Core::Duration delay) -> void;
    auto dropOldEntries(Core::Instant now) -> void;
    [[nodiscard]] auto messageFor(const Core::Address& address, Core::Instant now) -> std::optional<Message>;
    auto recordReply(const Core::Address& address, Sequence last, bool isConfirmed) -> void;

    const Environment m_environment;
    std::mutex m_mutex;
    std::map<Sequence, Entry> m_entries;
    /// Position of the newest notice about each upstream.
    std::map<Core::UpstreamId, Sequence> m_newest;
    std::map<Core::Address, Peer> m_peers;
    Sequence m_lastSequence = 0;
    Core::Instant m_nextSend;
    std::unique_ptr<Ports::Timer> m_timer;
};

} // namespace Forwarding
