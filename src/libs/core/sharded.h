#pragma once

#include <array>
#include <cstddef>
#include <functional>
#include <mutex>

namespace Core {

inline constexpr std::size_t defaultShardCount = 16;

/// State split into shards, each protected by its own mutex. A visitor runs with the mutex of its shard locked and must
/// not invoke callbacks.
template <typename State, std::size_t shardCount = defaultShardCount> class Sharded {
public:
    /// Calls visitor(State&) with the shard of the key locked.
    template <typename Key, typename Visitor> auto with(const Key& key, Visitor&& visitor)
    {
        return visit(std::hash<Key> {}(key) % shardCount, std::forward<Visitor>(visitor));
    }

    /// Calls visitor(State&) for each shard in turn, with only that shard locked.
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
