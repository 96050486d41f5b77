#pragma once

#include <array>
#include <cstddef>
#include <functional>
#include <mutex>

namespace Core {

inline constexpr std::size_t defaultShardCount = 16;

/// State split into shards, each under its own lock. No callback may leave the visitor while the lock is held.
template <typename State, std::size_t shardCount = defaultShardCount> class Sharded {
public:
    /// Calls visitor(State&) under the lock of the shard that owns the key.
    template <typename Key, typename Visitor> auto with(const Key& key, Visitor&& visitor)
    {
        return visit(std::hash<Key> {}(key) % shardCount, std::forward<Visitor>(visitor));
    }

    /// Calls visitor(State&) for each shard, one after another, each under its own lock.
    template <typename Visitor> auto forEach(Visitor&& visitor) -> void
    {
        for (std::size_t index = 0; index < shardCount; ++index)
            visit(index, visitor);
    }

private:
    struct Shard {
        std::mutex mutex;
        State state;
    };

    template <typename Visitor> auto visit(std::size_t index, Visitor&& visitor)
    {
        auto& shard = m_shards[index];
        const std::lock_guard lock(shard.mutex);
        return visitor(shard.state);
    }

    std::array<Shard, shardCount> m_shards;
};

} // namespace Core
