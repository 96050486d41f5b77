#pragma once

#include "storesync/collectionmirror.h"
#include "storesync/storewatchdog.h"

namespace StoreSync {

/// Newer copies of collections, as returned by another entry VM.
struct MirrorResponse {
    /// True if that entry VM reaches the store.
    bool isStoreReachable = false;
    CollectionLists lists;
};

/// Fetches copies of collections from other entry VMs.
class MirrorPort {
public:
    using Callback = std::function<void(Core::Result<MirrorResponse>)>;

    virtual ~MirrorPort() = default;
    virtual auto fetch(const Core::Address& peer, const KnownRevisions& known, Callback callback) -> void = 0;
};

/// Polls other entry VMs for changes of the collections while this one cannot reach the store. Copies that are not
/// newer than the local one are ignored.
class PeerRefresh : public std::enable_shared_from_this<PeerRefresh> {
public:
    struct Environment {
        CollectionFollower::Environment follower;
        MirrorPort& port;
        const CollectionMirror& mirror;
        /// Returns the entry VMs to query, the best ones first.
        std::function<std::vector<Core::Address>()> peers;
        /// Called after each response of an entry VM that reaches the store.
        std::function<void()> onRefreshed;
    };

    explicit PeerRefresh(Environment environment);

    auto add(const Ports::CollectionName& name, std::shared_ptr<CollectionFollower> follower) -> void;
    auto start() -> void;
    auto stop() -> void;

private:
    auto queryNextPeer() -> void;
    auto handleResponse(const Core::Address& peer, const Core::Result<MirrorResponse>& response) -> void;
    auto schedule() -> void;

    const Environment m_environment;
    std::map<Ports::CollectionName, std::shared_ptr<CollectionFollower>> m_followers;
    std::mutex m_mutex;
    bool m_isRunning = false;
    std::size_t m_nextPeer = 0;
    std::unique_ptr<Ports::Timer> m_timer;
};

} // namespace StoreSync
