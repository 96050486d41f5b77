#pragma once

#include "core/error.h"
#include "core/units.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Ports {

/// Revision of the store as a whole; rises with each change.
using StoreRevision = Core::StrongType<struct StoreRevisionTag, std::uint64_t>;
/// Name of a collection of objects in the store.
using CollectionName = Core::StrongType<struct CollectionTag, std::string>;

/// Object of a collection, in the store's own encoding.
struct CollectionItem {
    std::string name;
    StoreRevision revision;
    std::string text;
};

/// Whole collection as of a revision.
struct CollectionList {
    std::vector<CollectionItem> items;
    StoreRevision revision;
    /// Time since the store was asked, in which more may have changed.
    Core::Duration age {};
};

struct CollectionChange {
    CollectionItem item;
    bool isDeleted = false;
};

struct CollectionChanges {
    std::vector<CollectionChange> changes;
    StoreRevision revision;
};

/// Call that waits for an answer; may be given up, and then fails with Timeout or OutcomeUnknown.
class StoreCall {
public:
    virtual ~StoreCall() = default;
    virtual auto cancel() -> void = 0;
};

/// Collections of objects in the platform's store.
class CollectionStore {
public:
    using ListCallback = std::function<void(Core::Result<CollectionList>)>;
    using ChangesCallback = std::function<void(Core::Result<CollectionChanges>)>;
    using DoneCallback = std::function<void(Core::Result<StoreRevision>)>;

    virtual ~CollectionStore() = default;
    /// Reads the whole collection.
    virtual auto list(const CollectionName& name, ListCallback callback) -> void = 0;
    /// Calls back with what changed after the revision, or with no change after the wait. Fails with Conflict when the
    /// store no longer knows what changed since.
    virtual auto watch(const CollectionName& name, StoreRevision after, Core::Millis wait, ChangesCallback callback)
        -> std::shared_ptr<StoreCall> = 0;
    /// Cheap read that shows whether the store answers this VM.
    virtual auto ping(DoneCallback callback) -> void = 0;
    /// Writes the object, whether it exists or not.
    virtual auto put(const CollectionName& name, const CollectionItem& item, DoneCallback callback) -> void = 0;
};

} // namespace Ports
