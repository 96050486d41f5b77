#include "configuration/documenteditor.h"
#include "jsoncodec/jsondocumentcodec.h"
#include "replicationcluster.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace {

using Configuration::SectionId;
using std::chrono::seconds;

const std::vector<ReplicationCluster::NodeSpec> nodeSpecs { { "a1", "A" }, { "a2", "A" }, { "a3", "A" }, { "b1", "B" },
    { "b2", "B" }, { "c1", "C" } };
constexpr int stepCount = 120;

/// Injects random faults and edits, and checks during each step that no process goes back to a lower version.
struct RandomisedRun : ReplicationCluster {
    explicit RandomisedRun(std::uint64_t seed)
        : ReplicationCluster(seed)
    {
        world.setFaults(
            { .loss = 0.02, .duplication = 0.05, .minimumDelay = Core::Millis(1), .maximumDelay = Core::Millis(30) });
        putDocument(documentWithWorth(1));
        startAll(nodeSpecs);
        advance(seconds(15));
    }

    /// Advances time in small steps, so that a version that is in force only briefly is checked too.
    auto advance(Core::Duration duration) -> void
    {
        for (Core::Duration passed {}; passed < duration; passed += Core::Millis(50)) {
            world.runFor(Core::Millis(50));
            for (const auto& [vm, node] : nodes)
                checkVersion(vm, versionAt(vm));
        }
    }
    auto checkVersion(const std::string& vm, std::uint64_t version) -> void
    {
        auto& last = lastVersions[vm];
        BOOST_REQUIRE_MESSAGE(
            version == 0 || version >= last, vm << " went from version " << last << " to " << version);
        last = std::max(last, version);
    }
    auto step() -> void
    {
        const auto& nodeSpec = nodeSpecs[world.below(nodeSpecs.size())];
        const auto& other = nodeSpecs[world.below(nodeSpecs.size())];
        switch (world.below(8)) {
        case 0:
            restart(nodeSpec);
            break;
        case 1:
            world.cut(addressOf(nodeSpec.vm), addressOf(other.vm));
            break;
        case 2:
            store.disconnect(addressOf(nodeSpec.vm));
            break;
        case 3:
            store.setFaults({ .outage = world.chance(0.5),
                .loseWriteAnswers = world.chance(0.3),
                .stallWatches = world.chance(0.3) });
            break;
        case 4:
            healAll();
            break;
        case 5:
            pauseBriefly(nodeSpec);
            break;
        default:
            edit(world.chance(0.5) ? "desk" : "yard");
            edit(world.chance(0.5) ? "desk" : "yard");
        }
        advance(Core::Millis(static_cast<std::int64_t>(world.below(4000))));
    }
    /// A restarted process loses its state. The restart is skipped if the last version of the process is neither on a
    /// peer nor available from the store, and the network is healed before the restart.
    auto restart(const NodeSpec& nodeSpec) -> void
    {
        const auto known = highestElsewhere(nodeSpec);
        if (known < lastVersions[nodeSpec.vm] && store.faults().outage)
            return;
        world.heal();
        start(nodeSpec, { addressOf("a1"), addressOf("b1"), addressOf("c1") });
    }
    auto highestElsewhere(const NodeSpec& nodeSpec) -> std::uint64_t
    {
        std::uint64_t highest = 0;
        for (const auto& [vm, node] : nodes)
            highest = std::max(highest, vm == nodeSpec.vm ? 0 : versionAt(vm));
        return highest;
    }
    auto pauseBriefly(const NodeSpec& nodeSpec) -> void
    {
        world.pause(addressOf(nodeSpec.vm));
        advance(seconds(3));
        world.resume(addressOf(nodeSpec.vm));
    }
    auto healAll() -> void
    {
        world.heal();
        store.heal();
        store.setFaults({});
    }
    auto edit(const std::string& team) -> void
    {
        const auto section = SectionId::ofTeam(Core::TeamId(team));
        const auto id = Configuration::EditId("e" + std::to_string(++editCount));
        editor->read([this, section, id, team](const Core::Result<Configuration::SteeringDocument>& document) {
            if (!document)
                return;
            const Configuration::SectionValues replacement { { Configuration::ValuePath({ "services", team, "rank" }),
                                                                 std::string("normal") },
                { Configuration::ValuePath({ "services", team, "worth" }), static_cast<double>(editCount) } };
            editor->edit({ id, section, valuesOf(*document, section), replacement },
                [this](const Core::Result<Configuration::AcceptedEdit>& result) {
                    if (result)
                        acceptedVersion = std::max(acceptedVersion, result->version);
                });
        });
    }

    JsonCodec::JsonDocumentCodec codec;
    Fakes::VirtualNode operatorNode { world, Core::Address("operator") };
    Fakes::StoreClient operatorStore { store, Core::Address("operator") };
    std::shared_ptr<Configuration::DocumentEditor> editor
        = std::make_shared<Configuration::DocumentEditor>(operatorStore, operatorNode, codec);
    std::map<std::string, std::uint64_t> lastVersions;
    int editCount = 0;
    Core::Version acceptedVersion;
};

} // namespace

BOOST_AUTO_TEST_SUITE(UnderRandomFaults)

BOOST_DATA_TEST_CASE(
    NoVersionDecreasesAndAllConvergeAfterTheLastFault, boost::unit_test::data::xrange<std::uint64_t>(1, 9), seed)
{
    RandomisedRun run(seed);
    for (int step = 0; step < stepCount; ++step)
        run.step();
    run.healAll();
    run.advance(seconds(30));
    const auto final = run.store.object("steering/document").version;
    BOOST_TEST(final >= run.acceptedVersion);
    BOOST_TEST(run.allHaveVersion(final), "seed " << seed << ", version " << final);
    for (const auto& nodeSpec : nodeSpecs) {
        const auto status = run.statusOf("a1", nodeSpec.failureDomain);
        BOOST_TEST(status.isConfirmed, "seed " << seed << ": " << nodeSpec.failureDomain << " " << status.reason);
    }
}

BOOST_AUTO_TEST_SUITE_END()
