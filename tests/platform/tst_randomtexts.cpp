#include "platform/jsontext.h"
#include "platform/objectcodec.h"
#include "platform/objectmessages.h"
#include "platform/platformsettings.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

namespace {

const std::string page = R"({"items":[{"metadata":{"name":"i-1","revision":7},"spec":{"address":"10.0.0.1:80","born":17,
  "info":{"service":"pegs","zone":"atl-a","slots":4}},"status":{"state":"ready","seq":4,"cold_left":"1500ms"}}],
  "more":false,"store_revision":9})";
const std::string changes = R"({"events":[{"object":{"metadata":{"name":"main","revision":8},"spec":{"version":7,
  "services":[{"name":"pegs","health_path":"/health","cold_start":"3s","cold_per_s":4.1}],"limits":{
  "max_header_bytes":16384,"max_body_bytes":1000,"header_timeout":"3000ms","idle_timeout":"15s"},"hosts":[{"host":"h",
  "paths":[{"name":"r","path_prefix":"/s/","kind":"idempotent","timeout":"2s","target_latency":"400ms","attempts":2,
  "service":"pegs"}]}]}},"deleted":false}],"store_revision":9})";

/// Replaces parts of the text by others that a decoder may not expect.
auto mutate(std::string text) -> std::string
{
    const auto edits = *rc::gen::inRange(1, 6);
    for (int edit = 0; edit < edits; ++edit) {
        const auto at = *rc::gen::inRange<std::size_t>(0, text.size() + 1);
        const auto length = *rc::gen::inRange<std::size_t>(0, 12);
        const auto part = *rc::gen::oneOf(
            rc::gen::element<std::string>("", "[", "]", "{", "}", "\"", "\\", ",", ":", "null", "1e999", "-1",
                "99999999999999999999", "65536", std::string(300, '['), std::string("\xff\xfe"), std::string(1, '\0')),
            rc::gen::arbitrary<std::string>());
        text.replace(at, length, part);
    }
    return text;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ARandomText)

BOOST_AUTO_TEST_CASE(InTheStoresAnswersIsReadOrRefused)
{
    const Platform::ObjectCodec codec { { { Core::FailureDomainId("atl-a"), Core::RegionId("atl") } } };
    const auto decodeItem = [&codec](const Ports::CollectionItem& item) {
        (void)codec.decodeUpstream(item, Core::Instant(Core::Millis(10'000)));
        (void)codec.decodeConfiguration(item);
        (void)codec.decodeEntryVm(item);
    };
    BOOST_TEST(rc::check("no answer of the store ends the process", [&] {
        if (const auto read = Platform::decodePage(mutate(page))) {
            for (const auto& item : read->list.items)
                decodeItem(item);
        }
        if (const auto read = Platform::decodeChanges(mutate(changes))) {
            for (const auto& change : read->changes)
                decodeItem(change.item);
        }
    }));
}

BOOST_AUTO_TEST_CASE(AmongOtherObjectsHidesNoneOfThemIfItIsJson)
{
    BOOST_TEST(rc::check("the objects around an odd one are listed", [] {
        const auto odd = nlohmann::json(*rc::gen::arbitrary<std::string>())
                             .dump(-1, ' ', false, nlohmann::json::error_handler_t::ignore);
        const auto read = Platform::decodePage(R"({"items":[{"metadata":{"name":"a"}},)" + odd
            + R"(,{"metadata":{"name":"b"}, "spec":)" + odd + R"(}],"store_revision":9})");
        RC_ASSERT(read.has_value());
        RC_ASSERT(read->list.items.size() == 2U);
        RC_ASSERT(read->list.unreadableItems == 1U);
    }));
}

BOOST_AUTO_TEST_CASE(InTheSettingsIsReadOrRefused)
{
    BOOST_TEST(rc::check("no settings file ends the process",
        [] { (void)Platform::decodeSettings(mutate(R"({"node":"front-1","limits":{"cores":1,"memory_mb":260}})")); }));
}

BOOST_AUTO_TEST_SUITE_END()
