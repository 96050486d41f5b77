#include "timeline/eventring.h"
#include "timeline/hybridlogicalclock.h"
#include "timeline/loglevels.h"
#include "timeline/merge.h"
#include "timeline/recorder.h"
#include "timelinecodec/timelinecodec.h"

#include <boost/test/unit_test.hpp>

namespace {

class ManualClock : public Ports::Clock {
public:
    [[nodiscard]] auto now() const -> Core::Instant override { return {}; }
    [[nodiscard]] auto wallTime() const -> Core::WallTime override { return wall; }

    Core::WallTime wall { std::chrono::seconds(1000) };
};

struct Process {
    explicit Process(const std::string& name)
        : recorder(Core::EntryVmId(name), { clock, causal }, { &ring })
    {
    }

    auto record(const std::string& kind, const std::string& request = {}) -> void
    {
        recorder.record({ Ports::EventKind(kind), Core::RequestId(request), {} });
    }

    auto entries(const Timeline::Filter& filter = {}) -> std::vector<Timeline::Entry>
    {
        return ring.read({ filter, {}, 1000 }).entries;
    }

    ManualClock clock;
    Timeline::HybridLogicalClock causal { clock };
    Timeline::EventRing ring { 4096 };
    Timeline::Recorder recorder;
};

auto processesAndKinds(const std::vector<Timeline::Entry>& entries) -> std::string
{
    std::string text;
    for (const auto& entry : entries)
        text += entry.process.value() + ":" + entry.event.kind.value() + " ";
    return text;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ABookingPassesProcessesWhoseClocksDiffer)

struct TwoProcesses {
    TwoProcesses() { home.clock.wall -= std::chrono::seconds(30); }

    Process entry { "entry" };
    Process home { "home" };
};

BOOST_FIXTURE_TEST_CASE(ThenTheCauseComesBeforeItsEffect, TwoProcesses)
{
    entry.record("booking.received", "b-1");
    home.causal.observe(entry.causal.stamp());
    home.record("booking.started", "b-1");
    entry.causal.observe(home.causal.stamp());
    entry.record("booking.answered", "b-1");
    const auto merged = Timeline::merge({ home.entries(), entry.entries() });
    BOOST_TEST(processesAndKinds(merged) == "entry:booking.received home:booking.started entry:booking.answered ");
}

BOOST_FIXTURE_TEST_CASE(ThenATimestampFarAheadIsIgnored, TwoProcesses)
{
    const auto before = home.causal.stamp();
    home.causal.observe({ home.clock.wall + std::chrono::hours(24), 0 });
    const auto after = home.causal.stamp();
    BOOST_TEST((after > before));
    BOOST_TEST((after.wall == before.wall));
}

BOOST_FIXTURE_TEST_CASE(ThenTimestampsIncreaseWhileTheWallClockStepsBack, TwoProcesses)
{
    const auto before = entry.causal.stamp();
    entry.clock.wall -= std::chrono::hours(1);
    BOOST_TEST((entry.causal.stamp() > before));
}

BOOST_FIXTURE_TEST_CASE(ThenADuplicateEntryAppearsOnce, TwoProcesses)
{
    entry.record("booking.received", "b-1");
    BOOST_TEST(Timeline::merge({ entry.entries(), entry.entries() }).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AReaderAsksOneProcess)

BOOST_AUTO_TEST_CASE(ThenFiltersSelectByRequestVmKindAndTime)
{
    Process process("vm-1");
    process.record("booking.started", "b-1");
    process.record("configuration.taken");
    process.clock.wall += std::chrono::seconds(10);
    process.record("booking.started", "b-2");
    Timeline::Filter filter;
    filter.request = Core::RequestId("b-2");
    BOOST_TEST(process.entries(filter).size() == 1U);
    filter = {};
    filter.kindPrefix = "configuration";
    BOOST_TEST(process.entries(filter).size() == 1U);
    filter = {};
    filter.since = process.clock.wall;
    BOOST_TEST(process.entries(filter).size() == 1U);
    filter = {};
    filter.vm = Core::EntryVmId("vm-2");
    BOOST_TEST(process.entries(filter).empty());
    process.recorder.record({ Ports::EventKind("member.suspected"), {}, { { "vm", "vm-2" } } });
    BOOST_TEST(process.entries(filter).size() == 1U);
}

BOOST_AUTO_TEST_CASE(ThenPagesFollowOneAnotherWithoutGaps)
{
    Process process("vm-1");
    for (int index = 0; index < 25; ++index)
        process.record("booking.started", "b-" + std::to_string(index));
    Timeline::PageQuery query { {}, {}, 10 };
    std::size_t count = 0;
    Timeline::Page page;
    do {
        page = process.ring.read(query);
        count += page.entries.size();
        query.after = page.entries.back().time;
    } while (page.hasMore);
    BOOST_TEST(count == 25U);
}

BOOST_AUTO_TEST_CASE(ThenAFloodOfRequestsDisplacesNoOtherEvent)
{
    Process process("vm-1");
    process.record("configuration.taken");
    for (int index = 0; index < 20'000; ++index)
        process.record("request.refused", "r-" + std::to_string(index));
    Timeline::Filter filter;
    filter.kindPrefix = "configuration";
    BOOST_TEST(process.entries(filter).size() == 1U);
    const auto page = process.ring.read({ {}, {}, 100'000 });
    BOOST_TEST(page.entries.size() <= 4096U);
    BOOST_TEST(page.dropped + page.entries.size() == 20'001U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AnEntryIsWrittenAsALine)

BOOST_AUTO_TEST_CASE(ThenItDecodesToTheSameEntry)
{
    Timeline::Entry entry { { Core::WallTime(std::chrono::microseconds(5)), 3 }, {}, Core::EntryVmId("vm-1"),
        { Ports::EventKind("booking.started"), Core::RequestId("b-1"),
            { { "upstream", "u-1" }, { "process", "a name that the entry uses itself" } } } };
    const auto decoded = TimelineCodec::decodeEntry(TimelineCodec::encodeEntry(entry));
    BOOST_REQUIRE(decoded);
    BOOST_TEST((decoded->time == entry.time));
    BOOST_TEST(decoded->process.value() == "vm-1");
    BOOST_TEST(decoded->event.request.value() == "b-1");
    BOOST_TEST(decoded->event.fields.size() == 2U);
}

BOOST_AUTO_TEST_CASE(ThenInvalidUtf8IsReplaced)
{
    const Timeline::Entry entry { {}, {}, Core::EntryVmId("vm-1"),
        { Ports::EventKind("request.refused"), Core::RequestId("\xff\xfe"), { { "service", "\xc3(" } } } };
    BOOST_TEST(TimelineCodec::decodeEntry(TimelineCodec::encodeEntry(entry)).has_value());
}

BOOST_AUTO_TEST_CASE(ThenOtherLinesAreRejected)
{
    for (const auto* line : { "", "not json", "{}", "[]", R"({"hlc":"x","timeUs":1,"process":"p","event":"e"})",
             R"({"hlc":"1.1","timeUs":"1","process":"p","event":"e"})" })
        BOOST_TEST(!TimelineCodec::decodeEntry(line).has_value(), line);
    BOOST_TEST(!TimelineCodec::decodePage("{\"entries\":{}}").has_value());
}

BOOST_AUTO_TEST_CASE(ThenItsKindDeterminesItsLevel)
{
    using Ports::LogLevel;
    BOOST_TEST((Timeline::logLevelOf(Ports::EventKind("request.answered")) == LogLevel::Debug));
    BOOST_TEST((Timeline::logLevelOf(Ports::EventKind("request.refused")) == LogLevel::Info));
    BOOST_TEST((Timeline::logLevelOf(Ports::EventKind("configuration.refused")) == LogLevel::Warning));
    BOOST_TEST((Timeline::logLevelOf(Ports::EventKind("upstream.crashed")) == LogLevel::Error));
    BOOST_TEST((Timeline::logLevelOf(Ports::EventKind("process.started")) == LogLevel::Info));
}

BOOST_AUTO_TEST_SUITE_END()
