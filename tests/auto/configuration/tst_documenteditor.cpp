#include "configuration/documenteditor.h"
#include "fakes/virtualstore.h"
#include "jsoncodec/jsondocumentcodec.h"

#include <boost/test/unit_test.hpp>

namespace {

using Configuration::AcceptedEdit;
using Configuration::EditId;
using Configuration::SectionEdit;
using Configuration::SectionId;
using Configuration::SectionValues;
using Configuration::ValuePath;
using Core::ErrorKind;

auto worthOf(const std::string& service, double worth) -> SectionValues
{
    return { { ValuePath({ "services", service, "rank" }), std::string("normal") },
        { ValuePath({ "services", service, "worth" }), worth } };
}

auto team(const std::string& name) -> SectionId { return SectionId::ofTeam(Core::TeamId(name)); }

struct DocumentEditorFixture {
    auto start(SectionEdit edit) -> std::shared_ptr<std::optional<Core::Result<AcceptedEdit>>>
    {
        auto result = std::make_shared<std::optional<Core::Result<AcceptedEdit>>>();
        editor->edit(std::move(edit), [result](Core::Result<AcceptedEdit> accepted) {
            BOOST_TEST(!result->has_value());
            *result = std::move(accepted);
        });
        return result;
    }
    auto edit(SectionEdit edit) -> Core::Result<AcceptedEdit>
    {
        const auto result = start(std::move(edit));
        world.runFor(std::chrono::minutes(1));
        BOOST_REQUIRE(result->has_value());
        return **result;
    }
    auto stored() const -> Configuration::SteeringDocument
    {
        const auto object = store.object(Configuration::steeringDocumentName);
        return codec.decode(object.text, object.version).value();
    }

    Fakes::VirtualWorld world { 5 };
    Fakes::VirtualStore store { world };
    Fakes::VirtualNode node { world, Core::Address("operator") };
    Fakes::StoreClient client { store, Core::Address("operator") };
    JsonCodec::JsonDocumentCodec codec;
    std::shared_ptr<Configuration::DocumentEditor> editor
        = std::make_shared<Configuration::DocumentEditor>(client, node, codec);
};

struct DeskSectionFixture : DocumentEditorFixture {
    DeskSectionFixture() { BOOST_REQUIRE(edit({ EditId("first"), team("desk"), {}, worthOf("stock", 1) })); }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ADocumentWithOneSection, DeskSectionFixture)

BOOST_AUTO_TEST_SUITE(WhenTwoTeamsEditAtOnce)

BOOST_AUTO_TEST_CASE(BothEditsAreAccepted)
{
    const auto desk = start({ EditId("d"), team("desk"), worthOf("stock", 1), worthOf("stock", 2) });
    const auto yard = start({ EditId("y"), team("yard"), {}, worthOf("hold", 3) });
    world.runFor(std::chrono::seconds(5));
    BOOST_REQUIRE((desk->has_value() && yard->has_value()));
    BOOST_TEST((**desk).has_value());
    BOOST_TEST((**yard).has_value());
    BOOST_TEST((valuesOf(stored(), team("desk")) == worthOf("stock", 2)));
    BOOST_TEST((valuesOf(stored(), team("yard")) == worthOf("hold", 3)));
}

BOOST_AUTO_TEST_CASE(TheSecondDefinitionOfAServiceIsRefusedAndNamesBothTeams)
{
    const auto result = edit({ EditId("y"), team("yard"), {}, worthOf("stock", 3) });
    BOOST_REQUIRE(!result);
    BOOST_TEST((result.error().kind == ErrorKind::InvalidDocument));
    BOOST_TEST(result.error().message.find("'desk' and section 'yard'") != std::string::npos);
    BOOST_TEST(stored().version == Core::Version(1));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenSomebodyElseChangedTheOwnSection)

BOOST_AUTO_TEST_CASE(TheEditIsAConflictAndChangesNothing)
{
    BOOST_REQUIRE(edit({ EditId("colleague"), team("desk"), worthOf("stock", 1), worthOf("stock", 2) }));
    const auto result = edit({ EditId("mine"), team("desk"), worthOf("stock", 1), worthOf("stock", 9) });
    BOOST_REQUIRE(!result);
    BOOST_TEST((result.error().kind == ErrorKind::Conflict));
    BOOST_TEST(!result.error().remedy.empty());
    BOOST_TEST((valuesOf(stored(), team("desk")) == worthOf("stock", 2)));
}

BOOST_AUTO_TEST_CASE(OneOfTwoConcurrentEditsIsAConflict)
{
    const auto mine = start({ EditId("mine"), team("desk"), worthOf("stock", 1), worthOf("stock", 8) });
    const auto theirs = start({ EditId("theirs"), team("desk"), worthOf("stock", 1), worthOf("stock", 9) });
    world.runFor(std::chrono::seconds(5));
    BOOST_TEST(((**mine).has_value() != (**theirs).has_value()));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenTheFounderOverridesAValueThatATeamChanges)

BOOST_AUTO_TEST_CASE(BothEditsAreAcceptedAndTheOverrideTakesEffect)
{
    const SectionValues override { { ValuePath({ "services", "stock", "worth" }), 50.0 } };
    const auto founder = start({ EditId("f"), SectionId::overrides(), {}, override });
    const auto desk = start({ EditId("d"), team("desk"), worthOf("stock", 1), worthOf("stock", 2) });
    world.runFor(std::chrono::seconds(5));
    BOOST_TEST(((**founder).has_value() && (**desk).has_value()));
    BOOST_TEST((valuesOf(stored(), team("desk")) == worthOf("stock", 2)));
    BOOST_TEST(composeConfiguration(stored())->find(Core::ServiceId("stock"))->worth == 50);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenTheAnswerToAWriteIsLost)

BOOST_AUTO_TEST_CASE(TheEditIsFoundAcceptedAndWrittenOnce)
{
    store.setFaults({ .loseWriteAnswers = true });
    BOOST_REQUIRE(edit({ EditId("lost"), team("desk"), worthOf("stock", 1), worthOf("stock", 2) }));
    BOOST_TEST(stored().version == Core::Version(2));
}

BOOST_AUTO_TEST_CASE(ARetryWithTheSameIdAfterAnOutageReportsTheOutcome)
{
    store.setFaults({ .loseWriteAnswers = true });
    const auto result = start({ EditId("lost"), team("desk"), worthOf("stock", 1), worthOf("stock", 2) });
    world.runFor(Core::Millis(20));
    store.setFaults({ .outage = true });
    world.runFor(std::chrono::minutes(1));
    BOOST_REQUIRE((result->has_value() && !(**result).has_value()));
    BOOST_TEST(((**result).error().kind == ErrorKind::OutcomeUnknown));

    store.setFaults({});
    BOOST_REQUIRE(edit({ EditId("colleague"), team("desk"), worthOf("stock", 2), worthOf("stock", 7) }));
    const auto again = edit({ EditId("lost"), team("desk"), worthOf("stock", 1), worthOf("stock", 2) });
    BOOST_REQUIRE(again);
    BOOST_TEST(again->wasAcceptedBefore);
    BOOST_TEST((valuesOf(stored(), team("desk")) == worthOf("stock", 7)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenTheStoreIsUnavailable)

BOOST_AUTO_TEST_CASE(TheEditFailsAndIsNotAppliedLater)
{
    store.setFaults({ .outage = true });
    const auto result = edit({ EditId("e"), team("desk"), worthOf("stock", 1), worthOf("stock", 2) });
    BOOST_REQUIRE(!result);
    BOOST_TEST((result.error().kind == ErrorKind::Unavailable));
    store.setFaults({});
    world.runFor(std::chrono::minutes(5));
    BOOST_TEST((valuesOf(stored(), team("desk")) == worthOf("stock", 1)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenTheEditedDocumentIsInvalid)

BOOST_AUTO_TEST_CASE(NothingIsWritten)
{
    const auto result = edit({ EditId("e"), team("desk"), worthOf("stock", 1), worthOf("stock", -1) });
    BOOST_REQUIRE(!result);
    BOOST_TEST((result.error().kind == ErrorKind::InvalidDocument));
    BOOST_TEST(stored().version == Core::Version(1));
}

BOOST_AUTO_TEST_CASE(ATooLargeDocumentIsNotWritten)
{
    SectionValues values;
    for (int index = 0; index < 50'000; ++index)
        values[ValuePath({ "weights", "failure-domain-" + std::to_string(index) })] = 1.0;
    const auto result = edit({ EditId("e"), team("yard"), {}, values });
    BOOST_REQUIRE(!result);
    BOOST_TEST((result.error().kind == ErrorKind::TooLarge));
    BOOST_TEST(stored().version == Core::Version(1));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
