#pragma once

#include "core/error.h"
#include "organisations/apikey.h"
#include "organisations/organisation.h"

#include <map>
#include <unordered_map>

namespace Organisations {

/// The organisations of one configuration and their API keys.
class OrganisationDirectory {
public:
    /// Adds an organisation. Fails with InvalidArgument, and adds nothing, if its name is empty or already taken. A key
    /// that is empty or belongs to another organisation too identifies nobody; the error says so, and the organisation
    /// is added with its other keys.
    auto add(Organisation organisation, const std::vector<ApiKey>& keys) -> Core::Result<void>;
    /// Returns null if the key belongs to no organisation.
    [[nodiscard]] auto find(const ApiKey& key) const -> OrganisationPointer;
    /// Returns true if callers need not identify themselves.
    [[nodiscard]] auto isEmpty() const -> bool { return m_organisations.empty(); }
    [[nodiscard]] auto organisations() const -> const std::map<Core::OrganisationId, OrganisationPointer>&
    {
        return m_organisations;
    }

private:
    std::map<Core::OrganisationId, OrganisationPointer> m_organisations;
    /// Null for a key that belongs to more than one organisation.
    std::unordered_map<ApiKey, OrganisationPointer> m_byKey;
};

} // namespace Organisations
