#include "organisations/organisationdirectory.h"

namespace Organisations {

auto OrganisationDirectory::add(Organisation organisation, const std::vector<ApiKey>& keys) -> Core::Result<void>
{
    const auto id = organisation.id;
    if (id.value().empty()) {
        return Core::fail(Core::ErrorKind::InvalidArgument, "an organisation has no name",
            "give each organisation of the configuration a name of its own");
    }
    const auto pointer = std::make_shared<const Organisation>(std::move(organisation));
    if (!m_organisations.try_emplace(id, pointer).second) {
        return Core::fail(Core::ErrorKind::InvalidArgument, "organisation '" + id.value() + "' is listed twice",
            "give each organisation of the configuration a name of its own");
    }
    std::size_t unusable = 0;
    for (const auto& key : keys) {
        if (key.isEmpty()) {
            ++unusable;
            continue;
        }
        const auto [entry, isNew] = m_byKey.try_emplace(key, pointer);
        if (isNew || entry->second == pointer)
            continue;
        entry->second = nullptr;
        ++unusable;
    }
    if (unusable == 0)
        return {};
    return Core::fail(Core::ErrorKind::InvalidArgument,
        std::to_string(unusable) + " keys of organisation '" + id.value() + "' are empty or belong to another one too",
        "give each organisation keys of its own");
}

auto OrganisationDirectory::find(const ApiKey& key) const -> OrganisationPointer
{
    const auto found = m_byKey.find(key);
    return found == m_byKey.end() ? nullptr : found->second;
}

} // namespace Organisations
