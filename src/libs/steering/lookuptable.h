#pragma once

#include "core/error.h"
#include "core/ids.h"
#include "core/units.h"
#include "steering/clientblock.h"

#include <optional>
#include <string>
#include <vector>

namespace Steering {

/// Index of a site in its table.
using SiteIndex = Core::StrongType<struct SiteIndexTag, std::uint16_t>;

/// Location of clients, with the failure domains that they are steered to, nearest first.
struct Site {
    std::string name;
    std::vector<Core::FailureDomainId> failureDomains;
};

/// Range of consecutive client blocks that belong to the same site.
struct BlockRange {
    ClientBlock first;
    std::uint32_t count = 1;
    SiteIndex site;
};

/// Maps client blocks to sites. Immutable. Uses 8 bytes per block and one fence per 64 blocks.
class LookupTable {
public:
    /// Builds a table from ranges of blocks.
    class Builder {
    public:
        explicit Builder(std::vector<Site> sites);

        /// Fails with InvalidDocument if a range names an unknown site or exceeds the address space.
        auto add(const std::vector<BlockRange>& ranges) -> Core::Result<void>;
        /// Fails with InvalidDocument if a block was added twice or the table has too many sites.
        auto finish() -> Core::Result<LookupTable>;

    private:
        std::vector<Site> m_sites;
        std::vector<std::uint64_t> m_ipv4;
        std::vector<std::uint64_t> m_ipv6;
    };

    LookupTable() = default;

    [[nodiscard]] auto find(const ClientBlock& block) const -> std::optional<SiteIndex>;
    [[nodiscard]] auto sites() const -> const std::vector<Site>& { return m_sites; }
    [[nodiscard]] auto blockCount() const -> std::size_t;
    /// Returns the memory used by the blocks and their index.
    [[nodiscard]] auto size() const -> Core::Bytes;

private:
    /// Sorted entries, each with the prefix in the upper 48 bits and the site in the lower 16, and a sparse index.
    struct Index {
        Index() = default;
        explicit Index(std::vector<std::uint64_t> sorted);

        std::vector<std::uint64_t> entries;
        /// Every 64th entry; small enough to stay in the processor's cache.
        std::vector<std::uint64_t> fences;

        [[nodiscard]] auto find(std::uint64_t prefix) const -> std::optional<SiteIndex>;
    };

    [[nodiscard]] auto indexOf(Core::AddressFamily family) const -> const Index&;

    std::vector<Site> m_sites;
    Index m_ipv4;
    Index m_ipv6;
};

} // namespace Steering
