#pragma once

#include "ports/collectionstore.h"

#include <set>
#include <string>
#include <utility>

namespace StoreSync {

/// Names of the items that were known before the store returned from an older copy and that the copy lacks. They may
/// have been lost with the copy only, and count as existing until they have had time to be written again.
class HeldItems {
public:
    /// Adds the names that the list of the returned store lacks.
    auto hold(const std::set<std::string>& known, const Ports::CollectionList& list) -> void;
    /// Removes the names that a later list has again.
    auto releaseListed(const Ports::CollectionList& list) -> void;
    /// To be called when the store has reported a change of the item.
    auto release(const std::string& name) -> void { m_names.erase(name); }
    /// Returns the names that are still held, and holds none any more.
    [[nodiscard]] auto takeAll() -> std::set<std::string> { return std::exchange(m_names, {}); }
    [[nodiscard]] auto isEmpty() const -> bool { return m_names.empty(); }
    [[nodiscard]] auto size() const -> std::size_t { return m_names.size(); }

private:
    std::set<std::string> m_names;
};

} // namespace StoreSync
