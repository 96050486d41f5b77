#pragma once

#include <algorithm>
#include <cmath>
#include <compare>
#include <cstdint>

namespace Quotas {

/// Amount of permits. Parts of a permit are counted as well, because the part of a quota that one VM gets in a second
/// may be less than a permit. Integers, so that moving permits neither makes nor loses any.
class Permits {
public:
    constexpr Permits() = default;

    static constexpr auto ofUnits(std::int64_t units) -> Permits
    {
        Permits permits;
        permits.m_units = units;
        return permits;
    }
    /// Rounds down.
    static auto of(double permits) -> Permits
    {
        const double most = static_cast<double>(mostCounted);
        return ofUnits(static_cast<std::int64_t>(std::floor(std::clamp(permits, -most, most) * unitsPerPermit)));
    }
    /// Largest amount that one message moves for an organisation.
    static constexpr auto mostMoved() -> Permits { return ofWhole(1'000'000); }
    static constexpr auto ofWhole(std::int64_t permits) -> Permits { return ofUnits(permits * unitsPerPermit); }

    [[nodiscard]] constexpr auto units() const -> std::int64_t { return m_units; }
    [[nodiscard]] auto value() const -> double
    {
        return static_cast<double>(m_units) / static_cast<double>(unitsPerPermit);
    }
    /// Returns the least whole number of permits that is not below this amount.
    [[nodiscard]] constexpr auto roundedUp() const -> Permits
    {
        return ofUnits((m_units + unitsPerPermit - 1) / unitsPerPermit * unitsPerPermit);
    }
    [[nodiscard]] auto notNegative() const -> Permits { return std::max(*this, Permits()); }

    auto operator+=(Permits other) -> Permits&
    {
        m_units += other.m_units;
        return *this;
    }
    auto operator-=(Permits other) -> Permits&
    {
        m_units -= other.m_units;
        return *this;
    }
    friend constexpr auto operator+(Permits one, Permits other) -> Permits
    {
        return ofUnits(one.m_units + other.m_units);
    }
    friend constexpr auto operator-(Permits one, Permits other) -> Permits
    {
        return ofUnits(one.m_units - other.m_units);
    }
    friend auto operator<=>(const Permits&, const Permits&) -> std::strong_ordering = default;
    friend auto operator==(const Permits&, const Permits&) -> bool = default;

private:
    static constexpr std::int64_t unitsPerPermit = 1'000'000;
    static constexpr std::int64_t mostCounted = 1'000'000'000;

    std::int64_t m_units = 0;
};

} // namespace Quotas
