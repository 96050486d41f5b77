#include "settingsoptions/settingsoptions.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

namespace {

using Settings::Occurrence;
using Settings::RawValue;
using Settings::SettingName;
using Settings::Source;

struct CatalogueFixture {
    auto resolve(const std::vector<std::string>& arguments, std::vector<RawValue> environment = {}) const
        -> Settings::Resolution
    {
        auto given = SettingsOptions::parseFlags(catalogue, arguments);
        given.environment = std::move(environment);
        return Settings::resolve(catalogue, given);
    }

    static auto variable(const std::string& name, std::string value) -> RawValue
    {
        return { *Settings::settingFromVariable(name), std::move(value) };
    }

    static auto mentions(const Settings::Resolution& resolution, const std::string& text) -> bool
    {
        const auto& problems = resolution.problems();
        return std::any_of(problems.begin(), problems.end(), [&text](const Core::Error& problem) {
            return describe(problem).find(text) != std::string::npos && !problem.remedy.empty();
        });
    }

    Settings::Catalogue catalogue { {
        { SettingName("id"), "name", std::make_shared<Settings::IdentifierRule>(), Occurrence::Required, {} },
        { SettingName("listen"), "address",
            std::make_shared<Settings::AddressRule>(Settings::AddressRule::PortZero::Allowed), Occurrence::Optional,
            {} },
        { SettingName("peer"), "peer address",
            std::make_shared<Settings::AddressRule>(Settings::AddressRule::PortZero::Refused), Occurrence::Repeated,
            {} },
        { SettingName("threads"), "threads", std::make_shared<Settings::IntegerRule>(1, 64), Occurrence::Optional,
            "2" },
    } };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ASettingHasSeveralSources, CatalogueFixture)

BOOST_AUTO_TEST_CASE(ThenFlagsTakePrecedenceOverTheEnvironmentAndBothOverTheDefault)
{
    const auto byDefault = resolve({ "--id", "a" });
    BOOST_TEST(byDefault.integer("threads") == 2);
    BOOST_TEST((byDefault.settings().back().source == Source::Default));
    const auto byEnvironment = resolve({ "--id", "a" }, { variable("DRAGONFLYWINCH_THREADS", "3") });
    BOOST_TEST(byEnvironment.integer("threads") == 3);
    BOOST_TEST((byEnvironment.settings().back().source == Source::Environment));
    const auto byFlag = resolve({ "--id=a", "--threads=4" }, { variable("DRAGONFLYWINCH_THREADS", "3") });
    BOOST_TEST(byFlag.integer("threads") == 4);
    BOOST_TEST((byFlag.settings().back().source == Source::Flag));
    BOOST_TEST(byFlag.problems().empty());
}

BOOST_AUTO_TEST_CASE(ThenAListIsReadFromRepeatedFlagsOrCommas)
{
    const std::vector<std::string> expected { "10.0.0.1:1", "10.0.0.2:2" };
    BOOST_TEST(resolve({ "--id", "a", "--peer", expected[0], "--peer", expected[1] }).list("peer") == expected);
    BOOST_TEST(resolve({ "--id", "a" }, { variable("DRAGONFLYWINCH_PEER", "10.0.0.1:1,10.0.0.2:2") }).list("peer")
        == expected);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(SeveralSettingsAreInvalid, CatalogueFixture)

BOOST_AUTO_TEST_CASE(ThenAllProblemsAreReportedAtOnceWithRemedies)
{
    const auto resolution = resolve({ "--listne", "10.0.0.1:1", "--threads", "65", "--peer", "stray" },
        { variable("DRAGONFLYWINCH_THREDS", "3"), variable("DRAGONFLYWINCH_LISTEN", "localhost:80") });
    BOOST_TEST(resolution.problems().size() == 6U);
    BOOST_TEST(mentions(resolution, "unknown setting --listne; did you mean --listen?"));
    BOOST_TEST(mentions(resolution, "unknown setting DRAGONFLYWINCH_THREDS; did you mean DRAGONFLYWINCH_THREADS?"));
    BOOST_TEST(mentions(resolution, "--threads has the invalid value '65'; use a whole number from 1 to 64"));
    BOOST_TEST(mentions(resolution, "--peer has the invalid value 'stray'"));
    BOOST_TEST(mentions(resolution, "DRAGONFLYWINCH_LISTEN has the invalid value 'localhost:80'"));
    BOOST_TEST(mentions(resolution, "--id is required"));
}

BOOST_AUTO_TEST_CASE(ThenAFlagWithoutItsValueHidesNoOtherProblem)
{
    const auto resolution = resolve({ "--id", "--threads", "x", "extra", "--listen" });
    BOOST_TEST(mentions(resolution, "--threads has the invalid value 'x'"));
    BOOST_TEST(mentions(resolution, "argument 'extra' belongs to no setting"));
    BOOST_TEST(mentions(resolution, "--listen has no value"));
    BOOST_TEST(mentions(resolution, "--id has no value"));
}

BOOST_AUTO_TEST_CASE(ThenASettingGivenTwiceIsRefused)
{
    BOOST_TEST(mentions(resolve({ "--id", "a", "--id", "b" }), "--id is given more than once"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AValueIsCheckedByItsRule)

BOOST_AUTO_TEST_CASE(ThenIdentifiersExcludeTheKeySeparator)
{
    const Settings::IdentifierRule rule;
    for (const auto* text : { "atl-1-vm-1", "a", "A.b-9" })
        BOOST_TEST(rule.accepts(text), text);
    for (const auto* text : { "", "a:b", "a b", "a_b", "\xff" })
        BOOST_TEST(!rule.accepts(text), text);
    BOOST_TEST(!rule.accepts(std::string(65, 'a')));
}

BOOST_AUTO_TEST_CASE(ThenAddressesAreAnIpNumberAndAPort)
{
    const Settings::AddressRule rule(Settings::AddressRule::PortZero::Refused);
    for (const auto* text : { "10.0.0.7:8080", "[::1]:80", "255.255.255.255:65535" })
        BOOST_TEST(rule.accepts(text), text);
    for (const auto* text : { "", ":", "10.0.0.7", "10.0.0:80", "10.0.0.256:80", "1.2.3.4.5:80", "10.0.0.7:", "::1:80",
             "10.0.0.7:0", "10.0.0.7:65536", "10.0.0.7:-1", "10.0.0.7:80x", "host:80", "10.0..7:80", "-1.0.0.7:80" })
        BOOST_TEST(!rule.accepts(text), text);
    BOOST_TEST(Settings::AddressRule(Settings::AddressRule::PortZero::Allowed).accepts("127.0.0.1:0"));
}

BOOST_AUTO_TEST_SUITE_END()
