#pragma once

#include "core/strongtype.h"

#include <compare>
#include <cstdint>
#include <ostream>
#include <string>

namespace Ports {

/// Number of a history of the store. It rises when the store returns from an older copy of its data: the changes since
/// that copy are gone, although they were acknowledged, and their revision numbers are given out again. 0 if the store
/// states none.
using StoreEra = Core::StrongType<struct StoreEraTag, std::uint64_t>;

/// Revision of the store as a whole. Its number increases with each change of an era; all revisions of a later era come
/// after those of an earlier one.
class StoreRevision {
public:
    StoreRevision() = default;
    explicit StoreRevision(std::uint64_t number, StoreEra era = {})
        : m_era(era)
        , m_number(number)
    {
    }

    [[nodiscard]] auto number() const -> std::uint64_t { return m_number; }
    [[nodiscard]] auto era() const -> StoreEra { return m_era; }

    friend auto operator<=>(const StoreRevision&, const StoreRevision&) -> std::strong_ordering = default;
    friend auto operator==(const StoreRevision&, const StoreRevision&) -> bool = default;

private:
    /// Declared first, because it is compared first.
    StoreEra m_era;
    std::uint64_t m_number = 0;
};

/// Returns era and number, for logs.
inline auto describe(const StoreRevision& revision) -> std::string
{
    return std::to_string(revision.era().value()) + '.' + std::to_string(revision.number());
}

inline auto operator<<(std::ostream& stream, const StoreRevision& revision) -> std::ostream&
{
    return stream << describe(revision);
}

} // namespace Ports
