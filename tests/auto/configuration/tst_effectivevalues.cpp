#include "configuration/effectivevalues.h"
#include "jsoncodec/jsondocumentcodec.h"

#include <boost/test/unit_test.hpp>

namespace {

using Configuration::SectionId;
using Configuration::toString;

auto documentOf(const std::string& text) -> Configuration::SteeringDocument
{
    const auto document = JsonCodec::JsonDocumentCodec().decode(text, Core::Version(7));
    BOOST_REQUIRE_MESSAGE(document, document.error().message);
    return *document;
}

auto problemsOf(const std::string& text) -> std::string
{
    const auto configuration
        = JsonCodec::JsonDocumentCodec().decode(text, Core::Version(1)).and_then(Configuration::composeConfiguration);
    BOOST_REQUIRE(!configuration);
    BOOST_TEST((configuration.error().kind == Core::ErrorKind::InvalidDocument));
    BOOST_TEST(!configuration.error().remedy.empty());
    return configuration.error().message;
}

auto contains(const std::string& text, const std::string& part) -> bool { return text.find(part) != std::string::npos; }

constexpr auto teamAndFounder = R"({
    "sections": { "desk": { "services": { "stock": { "rank": "normal", "worth": 3 } }, "weights": { "atl-1": 2 } } },
    "overrides": { "services": { "stock": { "rank": "urgent" } }, "drained": { "sav-1": true } } })";

} // namespace

BOOST_AUTO_TEST_SUITE(AFoundersOverride)

BOOST_AUTO_TEST_CASE(ShadowsTheTeamsValueAndDoesNotEraseIt)
{
    const auto document = documentOf(teamAndFounder);
    const auto values = effectiveValues(document);
    const auto rank = std::find_if(
        values.begin(), values.end(), [](const auto& value) { return toString(value.path) == "services.stock.rank"; });
    BOOST_REQUIRE((rank != values.end()));
    BOOST_TEST(toString(rank->inForce.value) == "urgent");
    BOOST_TEST(rank->inForce.definingSection.isOverrides());
    BOOST_REQUIRE(rank->shadowed.has_value());
    BOOST_TEST(toString(rank->shadowed->value) == "normal");
    BOOST_TEST(rank->shadowed->definingSection.team().value() == "desk");
}

BOOST_AUTO_TEST_CASE(TakesEffectTogetherWithTheTeamsValues)
{
    const auto configuration = composeConfiguration(documentOf(teamAndFounder));
    BOOST_REQUIRE(configuration);
    BOOST_TEST(configuration->version == Core::Version(7));
    BOOST_TEST((configuration->find(Core::ServiceId("stock"))->rank == Core::Rank::Urgent));
    BOOST_TEST(configuration->find(Core::ServiceId("stock"))->worth == 3);
    BOOST_TEST(configuration->drained.contains(Core::FailureDomainId("sav-1")));
    BOOST_TEST(configuration->weights.at(Core::FailureDomainId("atl-1")) == 2);
}

BOOST_AUTO_TEST_CASE(OfAServiceThatNoTeamDefinesHasNoEffect)
{
    const auto configuration
        = composeConfiguration(documentOf(R"({ "overrides": { "services": { "gone": { "worth": 2 } } } })"));
    BOOST_REQUIRE(configuration);
    BOOST_TEST(configuration->services.empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AnInvalidDocument)

BOOST_AUTO_TEST_CASE(IsRefusedNamingBothTeamsThatDefineTheSameService)
{
    const auto problems = problemsOf(R"({ "sections": { "desk": { "services": { "stock": { "rank": "normal" } } },
        "yard": { "services": { "stock": { "worth": 2 } } } } })");
    BOOST_TEST(contains(problems, "'desk' and section 'yard' both define services.stock"));
}

BOOST_AUTO_TEST_CASE(IsRefusedListingAllProblems)
{
    const auto problems = problemsOf(R"({ "sections": { "desk": { "services": {
        "stock": { "rank": "first", "worth": -1 }, "audit": { "flor": 0.5, "rank": "normal" }, "hold": { "floor": 0.1 }
        } } } })");
    BOOST_TEST(contains(problems, "services.stock.rank"));
    BOOST_TEST(contains(problems, "services.stock.worth"));
    BOOST_TEST(contains(problems, "unknown value 'services.audit.flor'"));
    BOOST_TEST(contains(problems, "defines services.hold without a rank"));
}

BOOST_AUTO_TEST_CASE(IsRefusedIfTheFloorsOfAPoolExceedOne)
{
    BOOST_TEST(contains(problemsOf(R"({ "sections": { "desk": { "services": {
        "a": { "rank": "urgent", "floor": 0.7 }, "b": { "rank": "normal", "floor": 0.6, "pool": "a" } } } } })"),
        "add up to 1.3"));
}

BOOST_AUTO_TEST_CASE(IsRefusedForAWrongStructure)
{
    for (const auto* text : { "", "[]", "{", R"({"sections": 3})", R"({"sections": {"desk": []}})",
             R"({"section": {}})", R"({"sections": {"overrides": {}}})", R"({"sections": {"desk": {"weights": {}}}})",
             R"({"sections": {"desk": {"weights": {"a": null}}}})", R"({"edits": {"desk": [1]}})" })
        BOOST_TEST(!problemsOf(text).empty(), text);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AValidDocument)

BOOST_AUTO_TEST_CASE(IsTheSameAfterEncodingAndDecoding)
{
    const JsonCodec::JsonDocumentCodec codec;
    auto document = documentOf(teamAndFounder);
    document.recentEdits[SectionId::ofTeam(Core::TeamId("desk"))].push_back(Configuration::EditId("e1"));
    const auto again = codec.decode(codec.encode(document), document.version);
    BOOST_REQUIRE(again);
    BOOST_TEST((again->sections == document.sections));
    BOOST_TEST((again->recentEdits == document.recentEdits));
}

BOOST_AUTO_TEST_SUITE_END()
