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

/// Place that clients are steered to, with its failure domains, nearest first.
struct Site {
    std::string name;
    std::vector<Core::FailureDomainId> failureDomains;
};

/// Consecutive blocks of clients that belong to one site.
struct BlockRun {
    ClientBlock first;
    std::uint32_t count = 1;
    SiteIndex site;
};

/// Which site each block of clients belongs to. Immutable; 8 bytes for each block, and one fence for each 64.
class LookupTable {
public:
    /// Collects the runs of a table.
    class Builder {
    public:
        explicit Builder(std::vector<Site> sites);

        /// Fails with InvalidDocument when a run names an unknown site or leaves its address range.
        auto add(const std::vector<BlockRun>& runs) -> Core::Result<void>;
        /// Fails with InvalidDocument when a block was added twice.
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
    /// Memory of the blocks and their index.
    [[nodiscard]] auto size() const -> Core::Bytes;

private:
    /// Sorted words: the prefix in the upper 48 bits, the site in the lower 16.
    struct Index {
        Index() = default;
        explicit Index(std::vector<std::uint64_t> sorted);

        std::vector<std::uint64_t> entries;
        /// Every 64th entry, small enough to stay in the processor's cache.
        std::vector<std::uint64_t> fences;

        [[nodiscard]] auto find(std::uint64_t prefix) const -> std::optional<SiteIndex>;
    };

    [[nodiscard]] auto indexOf(Core::AddressFamily family) const -> const Index&;

    std::vector<Site> m_sites;
    Index m_ipv4;
    Index m_ipv6;
};

} // namespace Steering
