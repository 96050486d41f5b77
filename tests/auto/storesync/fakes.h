#pragma once

#include "storesync/sharedreads.h"
#include "support/virtualtime.h"

#include <deque>
#include <map>
#include <random>
#include <set>

namespace FollowingTest {

class NullEventSink : public Ports::EventSink {
public:
    auto record(Ports::Event) -> void override { }
};

/// Counts the events by their kind.
class EventCounter : public Ports::EventSink {
public:
    auto record(Ports::Event event) -> void override { ++m_counts[event.kind.value()]; }
    [[nodiscard]] auto count(const std::string& kind) const -> int
    {
        const auto found = m_counts.find(kind);
        return found == m_counts.end() ? 0 : found->second;
    }

private:
    std::map<std::string, int> m_counts;
};

class SeededRandom : public Ports::RandomSource {
public:
    auto next() -> std::uint64_t override { return m_engine(); }

private:
    std::mt19937_64 m_engine { 1 };
};

/// Store that answers lists and pings from `content`, and whose watches a test completes.
class ScriptedStore : public Ports::CollectionStore {
public:
    struct Watch : Ports::StoreCall {
        auto cancel() -> void override { isCancelled = true; }
        Ports::StoreRevision after;
        ChangesCallback callback;
        bool isCancelled = false;
    };

    auto list(const Ports::CollectionName&, ListCallback callback) -> void override
    {
        ++lists;
        if (isUnavailable)
            callback(unavailable());
        else
            callback(content);
    }

    auto watch(const Ports::CollectionName&, Ports::StoreRevision after, Core::Millis, ChangesCallback callback)
        -> std::shared_ptr<Ports::StoreCall> override
    {
        auto watch = std::make_shared<Watch>();
        watch->after = after;
        watch->callback = std::move(callback);
        watches.push_back(watch);
        return watch;
    }

    auto ping(DoneCallback callback) -> void override
    {
        if (isUnavailable)
            callback(unavailable());
        else
            callback(Ports::StoreRevision(0, content.revision.era()));
    }

    auto put(const Ports::CollectionName&, const Ports::CollectionItem&, DoneCallback callback) -> void override
    {
        callback(Ports::StoreRevision());
    }

    static auto unavailable() -> tl::unexpected<Core::Error>
    {
        return Core::fail(Core::ErrorKind::Unreachable, "the store is unreachable", "wait");
    }

    Ports::CollectionList content;
    std::vector<std::shared_ptr<Watch>> watches;
    bool isUnavailable = false;
    int lists = 0;
};

/// Records the names of the items in the collection.
class NameListener : public StoreSync::CollectionListener {
public:
    auto replaceAll(const Ports::CollectionList& list) -> void override
    {
        names.clear();
        for (const auto& item : list.items)
            names.insert(item.name);
    }
    auto mergeReturned(const Ports::CollectionList& list) -> void override
    {
        for (const auto& item : list.items)
            names.insert(item.name);
    }
    auto upsert(const Ports::CollectionItem& item) -> void override
    {
        names.insert(item.name);
        everUpserted.insert(item.name);
    }
    auto remove(const std::string& name) -> void override { names.erase(name); }
    auto commit() -> void override { ++commits; }

    std::set<std::string> names;
    std::set<std::string> everUpserted;
    int commits = 0;
};

/// Store whose lists a test can hold back, to complete them later.
class LateListStore : public ScriptedStore {
public:
    auto list(const Ports::CollectionName& name, ListCallback callback) -> void override
    {
        if (!isHoldingLists) {
            ScriptedStore::list(name, std::move(callback));
            return;
        }
        ++lists;
        heldLists.push_back(std::move(callback));
    }

    bool isHoldingLists = false;
    std::vector<ListCallback> heldLists;
};

inline auto revisionOf(std::uint64_t number, std::uint64_t era) -> Ports::StoreRevision
{
    return Ports::StoreRevision(number, Ports::StoreEra(era));
}

inline auto item(const std::string& name, std::uint64_t revision, std::uint64_t era = 0) -> Ports::CollectionItem
{
    return { name, revisionOf(revision, era), "{}" };
}

inline auto listOf(const std::set<std::string>& names, Ports::StoreRevision revision) -> Ports::CollectionList
{
    Ports::CollectionList list;
    list.revision = revision;
    for (const auto& name : names)
        list.items.push_back({ name, revision, "{}" });
    return list;
}

} // namespace FollowingTest
