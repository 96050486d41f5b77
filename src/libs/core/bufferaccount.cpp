#include "core/bufferaccount.h"

#include "core/invariant.h"

#include <algorithm>

namespace Core {

BufferAccount::Reservation::Reservation(std::shared_ptr<BufferAccount> account, BufferHolder holder, Bytes size)
    : m_account(std::move(account))
    , m_holder(std::move(holder))
    , m_size(size)
{
}

BufferAccount::Reservation::~Reservation()
{
    if (m_account)
        m_account->replace(m_holder, m_size.value(), 0);
}

auto BufferAccount::Reservation::resize(Bytes size) -> void
{
    m_account->replace(m_holder, m_size.value(), size.value());
    m_size = size;
}

BufferAccount::BufferAccount(Bytes limit)
    : m_limit(limit.value())
{
}

auto BufferAccount::reserve(Bytes size, const BufferHolder& holder) -> std::optional<Reservation>
{
    {
        const std::lock_guard lock(m_mutex);
        if (!fits(size.value(), holder))
            return std::nullopt;
        replaceLocked(holder, 0, size.value());
    }
    return std::optional<Reservation>(std::in_place, shared_from_this(), holder, size);
}

auto BufferAccount::fits(std::uint64_t size, const BufferHolder& holder) const -> bool
{
    if (m_used > m_limit || size > m_limit - m_used)
        return false;
    const auto held = m_holders.find(holder);
    const auto total = size + (held == m_holders.end() ? 0 : held->second);
    return holder.value().empty() || static_cast<double>(total) <= maximumHolderShare * static_cast<double>(m_limit);
}

auto BufferAccount::replace(const BufferHolder& holder, std::uint64_t before, std::uint64_t after) -> void
{
    const std::lock_guard lock(m_mutex);
    replaceLocked(holder, before, after);
}

auto BufferAccount::replaceLocked(const BufferHolder& holder, std::uint64_t before, std::uint64_t after) -> void
{
    invariant(m_used >= before, "core.buffers-balanced");
    m_used = m_used - before + after;
    m_highest = std::max(m_highest, m_used);
    if (holder.value().empty())
        return;
    auto& held = m_holders[holder];
    held = held - before + after;
    if (held == 0)
        m_holders.erase(holder);
}

auto BufferAccount::used() const -> Bytes
{
    const std::lock_guard lock(m_mutex);
    return Bytes(m_used);
}

auto BufferAccount::highest() const -> Bytes
{
    const std::lock_guard lock(m_mutex);
    return Bytes(m_highest);
}

} // namespace Core
