#pragma once

#include "core/units.h"

#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>

namespace Core {

/// Who the bytes of a message are held for, for example an organisation. Empty if that is not known.
using BufferHolder = StrongType<struct BufferHolderTag, std::string>;

/// Memory of this process for the bodies of messages in flight. What doesn't fit is refused before anything is done for
/// it. Thread-safe.
class BufferAccount : public std::enable_shared_from_this<BufferAccount> {
public:
    /// The most of the account that one known holder may take.
    static constexpr double maximumHolderShare = 0.5;

    /// Part of the account; returned to it at the end.
    class Reservation {
    public:
        Reservation(std::shared_ptr<BufferAccount> account, BufferHolder holder, Bytes size);
        ~Reservation();
        Reservation(Reservation&& other) noexcept = default;
        auto operator=(Reservation&&) -> Reservation& = delete;
        Reservation(const Reservation&) = delete;
        auto operator=(const Reservation&) -> Reservation& = delete;

        /// Sets the size to what is held in fact. This may take more than there is: later reservations wait for it.
        auto resize(Bytes size) -> void;

    private:
        std::shared_ptr<BufferAccount> m_account;
        BufferHolder m_holder;
        Bytes m_size;
    };

    explicit BufferAccount(Bytes limit);

    /// Returns nothing if the account, or the holder's share of it, has too little left.
    auto reserve(Bytes size, const BufferHolder& holder) -> std::optional<Reservation>;
    [[nodiscard]] auto used() const -> Bytes;
    /// Returns the most that was ever used.
    [[nodiscard]] auto highest() const -> Bytes;

private:
    /// Replaces a reservation of the holder.
    auto replace(const BufferHolder& holder, std::uint64_t before, std::uint64_t after) -> void;
    auto replaceLocked(const BufferHolder& holder, std::uint64_t before, std::uint64_t after) -> void;
    [[nodiscard]] auto fits(std::uint64_t size, const BufferHolder& holder) const -> bool;

    const std::uint64_t m_limit;
    mutable std::mutex m_mutex;
    std::uint64_t m_used = 0;
    std::uint64_t m_highest = 0;
    /// Known holders that have something reserved.
    std::unordered_map<BufferHolder, std::uint64_t> m_holders;
};

} // namespace Core
