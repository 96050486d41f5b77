#include "fakes/forwarding/inmemorycodec.h"

namespace Fakes {

namespace {

    auto decodeError(const Ports::CollectionItem& item) -> tl::unexpected<Core::Error>
    {
        return Core::fail(Core::ErrorKind::InvalidMessage, item.name + " can't be decoded", "write it again");
    }

} // namespace

auto InMemoryCodec::collections() const -> ForwardingHost::CollectionNames
{
    return { Ports::CollectionName("configuration"), Ports::CollectionName("upstreams"),
        Ports::CollectionName("evacuations"), Ports::CollectionName("entryVms") };
}

auto InMemoryCodec::storeValue(Value value) const -> std::string
{
    m_values.push_back(std::move(value));
    return std::to_string(m_values.size() - 1);
}

template <typename Type> auto InMemoryCodec::find(const Ports::CollectionItem& item) const -> const Type*
{
    const auto isNumber = !item.text.empty() && item.text.find_first_not_of("0123456789") == std::string::npos;
    return isNumber ? std::get_if<Type>(&m_values.at(std::stoul(item.text))) : nullptr;
}

auto InMemoryCodec::encode(const ConfigurationPointer& configuration) -> std::string
{
    return storeValue(configuration);
}

auto InMemoryCodec::encode(const ColdEntry& entry) -> std::string { return storeValue(entry); }

auto InMemoryCodec::decodeConfiguration(const Ports::CollectionItem& item) const -> Core::Result<ConfigurationPointer>
{
    const auto* found = find<ConfigurationPointer>(item);
    if (found == nullptr)
        return decodeError(item);
    return *found;
}

auto InMemoryCodec::decodeUpstream(const Ports::CollectionItem& item, Core::Instant now) const
    -> Core::Result<Forwarding::UpstreamEntry>
{
    const auto* found = find<ColdEntry>(item);
    if (found == nullptr)
        return decodeError(item);
    auto entry = found->entry;
    entry.coldUntil = now + found->coldRemaining;
    return entry;
}

auto InMemoryCodec::decodeEntryVm(const Ports::CollectionItem& item) const -> Core::Result<EntryFleet::EntryVmEntry>
{
    const auto* found = find<EntryFleet::EntryVmEntry>(item);
    if (found == nullptr)
        return decodeError(item);
    return *found;
}

auto InMemoryCodec::encodeEntryVm(const EntryFleet::EntryVmEntry& entry) const -> Ports::CollectionItem
{
    return { entry.id.value(), {}, storeValue(entry) };
}

} // namespace Fakes
