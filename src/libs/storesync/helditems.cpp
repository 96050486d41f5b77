#include "storesync/helditems.h"

namespace StoreSync {

auto HeldItems::hold(const std::set<std::string>& known, const Ports::CollectionList& list) -> void
{
    m_names.insert(known.begin(), known.end());
    releaseListed(list);
}

auto HeldItems::releaseListed(const Ports::CollectionList& list) -> void
{
    for (const auto& item : list.items)
        m_names.erase(item.name);
}

} // namespace StoreSync
