#include "timelinecodec/timelinecodec.h"

#include "timeline/loglevels.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

namespace TimelineCodec {

namespace {

    using nlohmann::json;

    constexpr std::array<std::string_view, 6> reservedNames { "timeUs", "hlc", "level", "process", "event", "request" };
    /// Prepended to field names that would collide with a member of the entry.
    const std::string reservedPrefix = "field.";

    auto isReserved(std::string_view name) -> bool
    {
        return std::find(reservedNames.begin(), reservedNames.end(), name) != reservedNames.end();
    }

    auto dump(const json& value) -> std::string { return value.dump(-1, ' ', false, json::error_handler_t::replace); }

    auto entryJson(const Timeline::Entry& entry) -> json
    {
        json value { { "timeUs", entry.wall.time_since_epoch().count() }, { "hlc", toString(entry.time) },
            { "level", toString(Timeline::logLevelOf(entry.event.kind)) }, { "process", entry.process.value() },
            { "event", entry.event.kind.value() } };
        if (!entry.event.request.value().empty())
            value["request"] = entry.event.request.value();
        for (const auto& field : entry.event.fields)
            value[isReserved(field.name) ? reservedPrefix + field.name : field.name] = field.value;
        return value;
    }

    auto fieldFrom(const std::string& name, const json& value) -> Ports::EventField
    {
        const bool isPrefixed = name.starts_with(reservedPrefix);
        return { isPrefixed ? name.substr(reservedPrefix.size()) : name, value.get<std::string>() };
    }

    /// Throws the exceptions of nlohmann::json or std::invalid_argument if the value is not an entry.
    auto entryFrom(const json& value) -> Timeline::Entry
    {
        const auto time = Core::parseHybridTime(value.at("hlc").get<std::string>());
        if (!time)
            throw std::invalid_argument(time.error().message);
        Timeline::Entry entry;
        entry.time = *time;
        entry.wall = Core::WallTime(std::chrono::microseconds(value.at("timeUs").get<std::int64_t>()));
        entry.process = Core::EntryVmId(value.at("process").get<std::string>());
        entry.event.kind = Ports::EventKind(value.at("event").get<std::string>());
        entry.event.request = Core::RequestId(value.value("request", std::string()));
        for (const auto& [name, text] : value.items()) {
            if (!isReserved(name))
                entry.event.fields.push_back(fieldFrom(name, text));
        }
        return entry;
    }

} // namespace

auto encodeEntry(const Timeline::Entry& entry) -> std::string { return dump(entryJson(entry)); }

auto decodeEntry(const std::string& line) -> std::optional<Timeline::Entry>
{
    try {
        return entryFrom(json::parse(line));
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

auto encodePage(const Timeline::Page& page) -> std::string
{
    auto entries = json::array();
    for (const auto& entry : page.entries)
        entries.push_back(entryJson(entry));
    return dump({ { "entries", std::move(entries) }, { "more", page.hasMore }, { "dropped", page.dropped } });
}

auto decodePage(const std::string& text) -> Core::Result<Timeline::Page>
{
    try {
        const auto value = json::parse(text);
        Timeline::Page page;
        for (const auto& entry : value.at("entries"))
            page.entries.push_back(entryFrom(entry));
        page.hasMore = value.at("more").get<bool>();
        page.dropped = value.at("dropped").get<std::uint64_t>();
        return page;
    } catch (const std::exception& error) {
        return Core::fail(Core::ErrorKind::InvalidMessage, std::string("the timeline is not valid: ") + error.what(),
            "check that the address belongs to an entry VM of the same version");
    }
}

} // namespace TimelineCodec
