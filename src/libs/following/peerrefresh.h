#pragma once

#include "following/collectionmirror.h"
#include "following/storewatchdog.h"

namespace Following {

/// What another entry VM knows of the store.
struct MirrorAnswer {
    /// The store answers that entry VM.
    bool isStoreAnswering = false;
    CollectionLists lists;
};

/// Asks other entry VMs for their copies of the collections.
class MirrorPort {
public:
    using Callback = std::function<void(Core::Result<MirrorAnswer>)>;

    virtual ~MirrorPort() = default;
    virtual auto fetch(const Core::Address& peer, const KnownRevisions& known, Callback callback) -> void = 0;
};

/// While the store does not answer this VM, learns from others what changed there. What is older than the own copy is
/// never taken.
class PeerRefresh : public std::enable_shared_from_this<PeerRefresh> {
public:
    struct Environment {
        CollectionFollower::Environment follower;
        MirrorPort& port;
        const CollectionMirror& mirror;
        /// Entry VMs to ask, the best ones first.
        std::function<std::vector<Core::Address>()> peers;
        /// Called when an entry VM that reaches the store has told what it knows.
        std::function<void()> onRefreshed;
    };

    explicit PeerRefresh(Environment environment);

    auto add(const Ports::CollectionName& name, std::shared_ptr<CollectionFollower> follower) -> void;
    auto start() -> void;
    auto stop() -> void;

private:
    auto ask() -> void;
    auto take(const Core::Address& peer, const Core::Result<MirrorAnswer>& answer) -> void;
    auto schedule() -> void;

    const Environment m_environment;
    std::map<Ports::CollectionName, std::shared_ptr<CollectionFollower>> m_followers;
    std::mutex m_mutex;
    bool m_isRunning = false;
    std::size_t m_turn = 0;
    std::unique_ptr<Ports::Timer> m_timer;
};

} // namespace Following
