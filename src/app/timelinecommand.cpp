#include "app/timelinecommand.h"

#include "app/problems.h"
#include "app/timelinereader.h"
#include "settingsoptions/settingsoptions.h"
#include "timeline/merge.h"
#include "timeline/timeargument.h"
#include "timelinecodec/timelinecodec.h"

#include <algorithm>
#include <iostream>
#include <nlohmann/json.hpp>

namespace App {

namespace {

    using nlohmann::json;
    using Settings::Occurrence;
    using Settings::SettingName;

    auto wallTimeNow() -> Core::WallTime
    {
        return std::chrono::time_point_cast<std::chrono::microseconds>(std::chrono::system_clock::now());
    }

    class TimeRule : public Settings::ValueRule {
    public:
        [[nodiscard]] auto placeholder() const -> std::string override { return "TIME"; }
        [[nodiscard]] auto expectation() const -> std::string override
        {
            return "use UTC as 2026-12-04T11:00:00Z, or a time ago as 90s, 10m, 2h or 1d";
        }
        [[nodiscard]] auto accepts(const std::string& text) const -> bool override
        {
            return Timeline::parseTime(text, wallTimeNow()).has_value();
        }
    };

    auto catalogue() -> const Settings::Catalogue&
    {
        using Settings::AddressRule;
        using Settings::TextRule;
        const auto address = std::make_shared<AddressRule>(AddressRule::PortZero::Refused);
        const auto time = std::make_shared<TimeRule>();
        static const Settings::Catalogue settings({
            { SettingName("at"), "caller or admin address of an entry VM", address, Occurrence::Repeated, {} },
            { SettingName("file"), "log file of an entry VM", std::make_shared<TextRule>("FILE"), Occurrence::Repeated,
                {} },
            { SettingName("request"), "only events of this request", std::make_shared<TextRule>("ID"),
                Occurrence::Optional, {} },
            { SettingName("vm"), "only events of this entry VM, and events that name it",
                std::make_shared<Settings::IdentifierRule>(), Occurrence::Optional, {} },
            { SettingName("kind"), "only kinds with this prefix, for example booking",
                std::make_shared<TextRule>("PREFIX"), Occurrence::Optional, {} },
            { SettingName("since"), "only events from this time on", time, Occurrence::Optional, {} },
            { SettingName("until"), "only events before this time", time, Occurrence::Optional, {} },
            { SettingName("json"), "print JSON", nullptr, Occurrence::Switch, {} },
        });
        return settings;
    }

    auto timeSetting(const Settings::Resolution& settings, const char* name) -> std::optional<Core::WallTime>
    {
        if (!settings.isSet(name))
            return std::nullopt;
        return *Timeline::parseTime(settings.text(name), wallTimeNow());
    }

    auto filterFrom(const Settings::Resolution& settings) -> Timeline::Filter
    {
        return { Core::RequestId(settings.text("request")), Core::EntryVmId(settings.text("vm")), settings.text("kind"),
            timeSetting(settings, "since"), timeSetting(settings, "until") };
    }

    auto readSources(const Settings::Resolution& settings) -> std::vector<TimelineSource>
    {
        const auto filter = filterFrom(settings);
        std::vector<TimelineSource> sources;
        for (const auto& address : settings.list("at"))
            sources.push_back(fetchTimeline(Core::Address(address), filter));
        for (const auto& file : settings.list("file"))
            sources.push_back(readTimelineFile(file, filter));
        return sources;
    }

    auto mergeSources(const std::vector<TimelineSource>& sources) -> std::vector<Timeline::Entry>
    {
        std::vector<std::vector<Timeline::Entry>> parts;
        parts.reserve(sources.size());
        for (const auto& source : sources)
            parts.push_back(source.entries);
        return Timeline::merge(std::move(parts));
    }

    auto printable(std::string text) -> std::string
    {
        std::replace_if(
            text.begin(), text.end(), [](char character) { return character >= 0 && character < ' '; }, '?');
        return text;
    }

    auto printText(const std::vector<Timeline::Entry>& entries, const std::vector<TimelineSource>& sources) -> void
    {
        for (const auto& entry : entries) {
            std::cout << Timeline::formatTime(entry.time.wall) << '.' << entry.time.logical << "  "
                      << printable(entry.process.value()) << "  " << printable(entry.event.kind.value());
            if (!entry.event.request.value().empty())
                std::cout << "  request=" << printable(entry.event.request.value());
            for (const auto& field : entry.event.fields)
                std::cout << ' ' << printable(field.name) << '=' << printable(field.value);
            std::cout << '\n';
        }
        for (const auto& source : sources) {
            if (source.error)
                std::cout << "missing: " << source.name << ": " << printable(describe(*source.error)) << '\n';
            if (source.dropped > 0)
                std::cout << "overwritten: " << source.name << " no longer holds " << source.dropped << " events\n";
        }
    }

    auto printJson(const std::vector<Timeline::Entry>& entries, const std::vector<TimelineSource>& sources) -> void
    {
        json report { { "entries", json::array() }, { "sources", json::array() } };
        for (const auto& entry : entries)
            report["entries"].push_back(json::parse(TimelineCodec::encodeEntry(entry)));
        for (const auto& source : sources) {
            json part { { "name", source.name }, { "dropped", source.dropped } };
            if (source.error)
                part["error"] = describe(*source.error);
            report["sources"].push_back(std::move(part));
        }
        constexpr int indent = 2;
        std::cout << report.dump(indent, ' ', false, json::error_handler_t::replace) << '\n';
    }

    auto resolveSettings(const std::vector<std::string>& arguments) -> Settings::Resolution
    {
        auto rawSettings = SettingsOptions::parseFlags(catalogue(), arguments);
        const auto isSource = [](const Settings::RawValue& value) {
            return value.name.value() == "at" || value.name.value() == "file";
        };
        if (std::none_of(rawSettings.flags.begin(), rawSettings.flags.end(), isSource)) {
            rawSettings.problems.push_back({ Core::ErrorKind::InvalidArgument, "no event source is given",
                "set --at IP:PORT or --file FILE at least once" });
        }
        return Settings::resolve(catalogue(), rawSettings);
    }

} // namespace

auto TimelineCommand::name() const -> std::string { return "timeline"; }

auto TimelineCommand::summary() const -> std::string { return "merge the events of several processes in causal order"; }

auto TimelineCommand::help() const -> std::string
{
    return "usage: dragonflywinch timeline --at IP:PORT... [--file FILE...] [--SETTING VALUE...]\n\n"
        + SettingsOptions::describe(catalogue())
        + "\nSources that cannot be read are listed after the events of the others.\n"
          "\nExamples:\n"
          "  dragonflywinch timeline --at 10.0.0.7:8080 --at 10.0.0.8:8080 --request r-17\n"
          "  dragonflywinch timeline --at 10.0.0.7:8080,10.0.0.8:8080 --file vm-3.log --kind booking --since 10m\n"
          "\nExit codes: 0 at least one source was read, 1 no source was read, 2 invalid settings\n";
}

auto TimelineCommand::run(const std::vector<std::string>& arguments) -> ExitCode
{
    const auto settings = resolveSettings(arguments);
    if (!settings.problems().empty()) {
        printProblems(std::cerr, settings.problems());
        return ExitCode::InvalidUsage;
    }
    const auto sources = readSources(settings);
    const auto entries = mergeSources(sources);
    if (settings.isSet("json"))
        printJson(entries, sources);
    else
        printText(entries, sources);
    const bool hasRead = std::any_of(sources.begin(), sources.end(),
        [](const TimelineSource& source) { return !source.error || !source.entries.empty(); });
    return hasRead ? ExitCode::Success : ExitCode::Failure;
}

} // namespace App
