#include "steering/lookuptable.h"

#include <algorithm>
#include <limits>

namespace Steering {

namespace {

    constexpr std::size_t entriesPerFence = 64;
    constexpr unsigned siteBits = 16;
    constexpr std::uint64_t siteMask = (std::uint64_t(1) << siteBits) - 1;
    constexpr std::size_t maximumSites = std::size_t(std::numeric_limits<std::uint16_t>::max()) + 1;

    auto invalidTable(std::string message) -> tl::unexpected<Core::Error>
    {
        return Core::fail(Core::ErrorKind::InvalidDocument, std::move(message),
            "correct the table of client blocks as docs/INTERFACES.md describes; the last valid one stays in use");
    }

    auto blockCountOf(Core::AddressFamily family) -> std::uint64_t
    {
        return family == Core::AddressFamily::IPv4 ? ipv4BlockCount : ipv6BlockCount;
    }

    auto hasSamePrefix(std::uint64_t left, std::uint64_t right) -> bool
    {
        return (left >> siteBits) == (right >> siteBits);
    }

    auto isWithinAddressRange(const BlockRange& range) -> bool
    {
        const auto blocks = blockCountOf(range.first.family);
        return range.first.prefix < blocks && range.count <= blocks - range.first.prefix;
    }

} // namespace

LookupTable::Builder::Builder(std::vector<Site> sites)
    : m_sites(std::move(sites))
{
}

auto LookupTable::Builder::add(const std::vector<BlockRange>& ranges) -> Core::Result<void>
{
    for (const auto& range : ranges) {
        if (range.site.value() >= m_sites.size())
            return invalidTable(
                "a block names site " + std::to_string(range.site.value()) + ", which the table does not contain");
        if (!isWithinAddressRange(range))
            return invalidTable("a range of blocks exceeds the address space");
        auto& entries = range.first.family == Core::AddressFamily::IPv4 ? m_ipv4 : m_ipv6;
        for (std::uint64_t offset = 0; offset < range.count; ++offset)
            entries.push_back(((range.first.prefix + offset) << siteBits) | range.site.value());
    }
    return {};
}

auto LookupTable::Builder::finish() -> Core::Result<LookupTable>
{
    if (m_sites.size() > maximumSites)
        return invalidTable("the table has more than " + std::to_string(maximumSites) + " sites");
    for (auto* entries : { &m_ipv4, &m_ipv6 }) {
        std::sort(entries->begin(), entries->end());
        if (std::adjacent_find(entries->begin(), entries->end(), hasSamePrefix) != entries->end())
            return invalidTable("a client block is listed more than once");
    }
    LookupTable table;
    table.m_sites = std::move(m_sites);
    table.m_ipv4 = Index(std::move(m_ipv4));
    table.m_ipv6 = Index(std::move(m_ipv6));
    return table;
}

auto LookupTable::find(const ClientBlock& block) const -> std::optional<SiteIndex>
{
    return indexOf(block.family).find(block.prefix);
}

auto LookupTable::blockCount() const -> std::size_t { return m_ipv4.entries.size() + m_ipv6.entries.size(); }

auto LookupTable::size() const -> Core::Bytes
{
    std::size_t words = 0;
    for (const auto* index : { &m_ipv4, &m_ipv6 })
        words += index->entries.capacity() + index->fences.capacity();
    return Core::Bytes(words * sizeof(std::uint64_t));
}

auto LookupTable::indexOf(Core::AddressFamily family) const -> const Index&
{
    return family == Core::AddressFamily::IPv4 ? m_ipv4 : m_ipv6;
}

auto LookupTable::Index::find(std::uint64_t prefix) const -> std::optional<SiteIndex>
{
    const auto lowest = prefix << siteBits;
    const auto highest = lowest | siteMask;
    // Only the entries from the last fence at or below the prefix up to the next fence can contain it.
    const auto fence = std::upper_bound(fences.begin(), fences.end(), highest);
    if (fence == fences.begin())
        return std::nullopt;
    const auto start = static_cast<std::size_t>(fence - fences.begin() - 1) * entriesPerFence;
    const auto first = entries.begin() + static_cast<std::ptrdiff_t>(start);
    const auto last = first + static_cast<std::ptrdiff_t>(std::min(entriesPerFence, entries.size() - start));
    const auto found = std::lower_bound(first, last, lowest);
    if (found == last || (*found >> siteBits) != prefix)
        return std::nullopt;
    return SiteIndex(static_cast<std::uint16_t>(*found & siteMask));
}

LookupTable::Index::Index(std::vector<std::uint64_t> sorted)
    : entries(std::move(sorted))
{
    entries.shrink_to_fit();
    fences.reserve(entries.size() / entriesPerFence + 1);
    for (std::size_t position = 0; position < entries.size(); position += entriesPerFence)
        fences.push_back(entries[position]);
}

} // namespace Steering
