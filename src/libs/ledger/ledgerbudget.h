#pragma once

#include "ledger/ledgerlimits.h"

#include <mutex>

namespace Ledger {

/// Tracks the records and bytes of one ledger against its limits. Thread-safe.
class LedgerBudget {
public:
    explicit LedgerBudget(const LedgerLimits& limits)
        : m_limits(limits)
    {
    }

    /// Reserves one record of the given size. Returns false and reserves nothing if a limit would be exceeded.
    auto reserve(std::size_t bytes) -> bool
    {
        const std::lock_guard lock(m_mutex);
        if (m_records >= m_limits.maximumRecords || m_bytes + bytes > m_limits.maximumBytes.value())
            return false;
        ++m_records;
        m_bytes += bytes;
        return true;
    }

    /// Replaces the reserved size of a record by its actual size. May exceed the limit, since answers are never
    /// dropped.
    auto resize(std::size_t from, std::size_t to) -> void
    {
        const std::lock_guard lock(m_mutex);
        m_bytes += to;
        m_bytes -= from;
    }

    auto release(std::size_t records, std::size_t bytes) -> void
    {
        const std::lock_guard lock(m_mutex);
        m_records -= records;
        m_bytes -= bytes;
    }

    [[nodiscard]] auto records() const -> std::size_t
    {
        const std::lock_guard lock(m_mutex);
        return m_records;
    }

    [[nodiscard]] auto bytes() const -> Core::Bytes
    {
        const std::lock_guard lock(m_mutex);
        return Core::Bytes(m_bytes);
    }

private:
    const LedgerLimits m_limits;
    mutable std::mutex m_mutex;
    std::size_t m_records = 0;
    std::size_t m_bytes = 0;
};

} // namespace Ledger
