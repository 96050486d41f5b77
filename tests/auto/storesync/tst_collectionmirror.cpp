#include "fakes.h"

#include <boost/test/unit_test.hpp>

using namespace FollowingTest;

namespace {

using Names = std::set<std::string>;

/// Mirror whose collection is at revision 101 of the store's first era.
struct MirrorAtRevision101 {
    MirrorAtRevision101()
    {
        mirror.replaceAll(name, listOf({ "a", "b" }, revisionOf(100, 1)));
        mirror.apply(name, { { { item("c", 101, 1), false } }, revisionOf(101, 1) });
    }

    [[nodiscard]] auto newsSince(Ports::StoreRevision known) const -> std::optional<StoreSync::CollectionNews>
    {
        const auto news = mirror.newsSince({ { name, known } });
        const auto found = news.find(name);
        return found == news.end() ? std::nullopt : std::optional(found->second);
    }

    /// Returns the names of the whole collection, or none if the news are changes or there are none.
    [[nodiscard]] auto wholeCollectionFor(Ports::StoreRevision known) const -> Names
    {
        const auto news = newsSince(known);
        const auto* list = news ? std::get_if<Ports::CollectionList>(&*news) : nullptr;
        Names names;
        if (list != nullptr) {
            for (const auto& listed : list->items)
                names.insert(listed.name);
        }
        return names;
    }

    [[nodiscard]] auto changedNamesFor(Ports::StoreRevision known) const -> Names
    {
        const auto news = newsSince(known);
        const auto* since = news ? std::get_if<StoreSync::ChangesSince>(&*news) : nullptr;
        Names names;
        if (since != nullptr) {
            for (const auto& change : since->changes.changes)
                names.insert(change.item.name);
        }
        return names;
    }

    TestSupport::VirtualTime time;
    StoreSync::CollectionMirror mirror { time };
    const Ports::CollectionName name { "upstreams" };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AMirror, MirrorAtRevision101)

BOOST_AUTO_TEST_SUITE(WithinAnEra)

BOOST_AUTO_TEST_CASE(PassesChangesOn)
{
    BOOST_TEST(changedNamesFor(revisionOf(100, 1)) == (Names { "c" }));
    BOOST_TEST(!newsSince(revisionOf(101, 1)).has_value());
}

BOOST_AUTO_TEST_CASE(PassesTheDifferencesOfAFurtherListOnAsChanges)
{
    mirror.replaceAll(name, listOf({ "a", "d" }, revisionOf(110, 1)));
    BOOST_TEST(wholeCollectionFor(revisionOf(101, 1)).empty());
    BOOST_TEST(changedNamesFor(revisionOf(101, 1)).contains("d"));
    BOOST_TEST(changedNamesFor(revisionOf(101, 1)).contains("b"));
}

BOOST_AUTO_TEST_CASE(HasNothingForACopyOfALaterEra)
{
    BOOST_TEST(!newsSince(revisionOf(3, 2)).has_value());
    BOOST_TEST(!newsSince(revisionOf(900, 2)).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(OfAStoreThatHasReturnedFromAnOlderCopy)

BOOST_AUTO_TEST_CASE(StatesTheEraOfItsRevisions)
{
    BOOST_TEST(mirror.revisions().at(name) == revisionOf(101, 1));
    mirror.replaceAll(name, listOf({ "a" }, revisionOf(40, 2)));
    BOOST_TEST(mirror.revisions().at(name) == revisionOf(40, 2));
}

BOOST_AUTO_TEST_CASE(PassesTheWholeCollectionToACopyOfTheEarlierEra)
{
    mirror.replaceAll(name, listOf({ "a", "d" }, revisionOf(40, 2)));
    for (const std::uint64_t known : { 0, 39, 40, 41, 100, 101, 900 }) {
        BOOST_TEST(wholeCollectionFor(revisionOf(known, 1)) == (Names { "a", "d" }));
        BOOST_TEST(changedNamesFor(revisionOf(known, 1)).empty());
    }
}

BOOST_AUTO_TEST_CASE(PassesTheWholeCollectionToACopyOfTheEarlierEraAfterFurtherChanges)
{
    mirror.replaceAll(name, listOf({ "a", "d" }, revisionOf(40, 2)));
    mirror.apply(name, { { { item("e", 102, 2), false } }, revisionOf(102, 2) });
    BOOST_TEST(wholeCollectionFor(revisionOf(101, 1)) == (Names { "a", "d", "e" }));
    BOOST_TEST(changedNamesFor(revisionOf(40, 2)) == (Names { "e" }));
}

BOOST_AUTO_TEST_CASE(PassesChangesOfTheNewEraOnOnly)
{
    mirror.replaceAll(name, listOf({ "a" }, revisionOf(40, 2)));
    BOOST_TEST(!newsSince(revisionOf(40, 2)).has_value());
    mirror.apply(name, { { { item("d", 41, 2), false } }, revisionOf(41, 2) });
    BOOST_TEST(changedNamesFor(revisionOf(40, 2)) == (Names { "d" }));
}

BOOST_AUTO_TEST_CASE(PassesTheWholeCollectionOfTheSameRevisionNumberOn)
{
    mirror.replaceAll(name, listOf({ "other" }, revisionOf(101, 2)));
    BOOST_TEST(wholeCollectionFor(revisionOf(101, 1)) == (Names { "other" }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
