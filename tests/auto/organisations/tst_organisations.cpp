#include "organisations/organisationdirectory.h"

#include <boost/test/unit_test.hpp>

using Organisations::ApiKey;

namespace {

struct DirectoryFixture {
    auto add(const std::string& name, const std::vector<std::string>& secrets) -> Core::Result<void>
    {
        Organisations::Organisation organisation;
        organisation.id = Core::OrganisationId(name);
        std::vector<ApiKey> keys;
        for (const auto& secret : secrets)
            keys.emplace_back(secret);
        return directory.add(organisation, keys);
    }

    /// Returns the name of the organisation that the key belongs to; empty if there is none.
    auto ownerOf(const std::string& secret) -> std::string
    {
        const auto organisation = directory.find(ApiKey(secret));
        return organisation ? organisation->id.value() : "";
    }

    Organisations::OrganisationDirectory directory;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ADirectoryOfOrganisations, DirectoryFixture)

BOOST_AUTO_TEST_CASE(IsEmptyUntilOneIsAdded)
{
    BOOST_TEST(directory.isEmpty());
    BOOST_TEST(ownerOf("k1").empty());
}

BOOST_AUTO_TEST_SUITE(WithTwoOrganisations)

BOOST_AUTO_TEST_CASE(FindsEachByAnyOfItsKeys)
{
    BOOST_TEST(add("crews", { "k1", "k2" }).has_value());
    BOOST_TEST(add("desks", { "k3" }).has_value());
    BOOST_TEST(!directory.isEmpty());
    BOOST_TEST(ownerOf("k1") == "crews");
    BOOST_TEST(ownerOf("k2") == "crews");
    BOOST_TEST(ownerOf("k3") == "desks");
    BOOST_TEST(ownerOf("k4").empty());
    BOOST_TEST(ownerOf("").empty());
}

BOOST_AUTO_TEST_SUITE(ThatShareAKey)

BOOST_AUTO_TEST_CASE(IdentifiesNobodyByItAndSaysSo)
{
    BOOST_TEST(add("crews", { "shared", "k1" }).has_value());
    const auto added = add("desks", { "shared", "k2" });
    BOOST_REQUIRE(!added);
    BOOST_TEST((added.error().kind == Core::ErrorKind::InvalidArgument));
    BOOST_TEST(ownerOf("shared").empty());
    BOOST_TEST(ownerOf("k1") == "crews");
    BOOST_TEST(ownerOf("k2") == "desks");
    BOOST_TEST(!add("third", { "shared" }).has_value());
    BOOST_TEST(ownerOf("shared").empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(OfTheSameName)

BOOST_AUTO_TEST_CASE(KeepsTheFirst)
{
    BOOST_TEST(add("crews", { "k1" }).has_value());
    BOOST_TEST(!add("crews", { "k2" }).has_value());
    BOOST_TEST(ownerOf("k1") == "crews");
    BOOST_TEST(ownerOf("k2").empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(OneOfThemWithAnEmptyKeyOrName)

BOOST_AUTO_TEST_CASE(KeepsWhatCanBeUsed)
{
    BOOST_TEST(!add("crews", { "", "k1" }).has_value());
    BOOST_TEST(ownerOf("k1") == "crews");
    BOOST_TEST(ownerOf("").empty());
    BOOST_TEST(!add("", { "k2" }).has_value());
    BOOST_TEST(ownerOf("k2").empty());
    // A key that is listed twice for one organisation is no problem.
    BOOST_TEST(add("desks", { "k3", "k3" }).has_value());
    BOOST_TEST(ownerOf("k3") == "desks");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ThatRefusesAnEntry)

BOOST_AUTO_TEST_CASE(NamesNoKeyInTheError)
{
    BOOST_TEST(add("crews", { "secret-1" }).has_value());
    for (const auto& added : { add("crews", { "secret-2" }), add("desks", { "secret-1" }), add("", { "secret-3" }) }) {
        BOOST_REQUIRE(!added);
        BOOST_TEST(describe(added.error()).find("secret") == std::string::npos);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
