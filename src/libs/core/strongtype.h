#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace Core {

/// Value of type Rep that cannot be mixed up with a value of another Tag.
template <typename Tag, typename Rep> class StrongType {
public:
    StrongType() = default;
    explicit StrongType(Rep value)
        : m_value(std::move(value))
    {
    }

    [[nodiscard]] auto value() const -> const Rep& { return m_value; }

    friend auto operator<=>(const StrongType&, const StrongType&) -> std::compare_three_way_result_t<Rep> = default;
    friend auto operator==(const StrongType&, const StrongType&) -> bool = default;

    friend auto operator<<(std::ostream& stream, const StrongType& strong) -> std::ostream&
    {
        return stream << strong.m_value;
    }

private:
    Rep m_value {};
};

} // namespace Core

template <typename Tag, typename Rep> struct std::hash<Core::StrongType<Tag, Rep>> {
    auto operator()(const Core::StrongType<Tag, Rep>& strong) const noexcept -> std::size_t
    {
        return std::hash<Rep> {}(strong.value());
    }
};
