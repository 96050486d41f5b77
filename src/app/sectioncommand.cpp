#include "app/sectioncommand.h"

#include "app/blockingdocumenteditor.h"
#include "app/problems.h"
#include "core/incarnation.h"
#include "settingsoptions/settingsoptions.h"

#include <fstream>
#include <iostream>
#include <sstream>

namespace App {

namespace {

    using Configuration::SectionId;
    using Settings::Occurrence;
    using Settings::SettingName;

    auto catalogue() -> const Settings::Catalogue&
    {
        const auto address = std::make_shared<Settings::AddressRule>(Settings::AddressRule::PortZero::Refused);
        const auto identifier = std::make_shared<Settings::IdentifierRule>();
        const auto file = std::make_shared<Settings::TextRule>("FILE");
        static const Settings::Catalogue catalogue({
            { SettingName("store"), "address of the platform's object API", address, Occurrence::Required, {} },
            { SettingName("team"), "team whose section is selected", identifier, Occurrence::Optional, {} },
            { SettingName("overrides"), "select the founder's overrides", nullptr, Occurrence::Switch, {} },
            { SettingName("file"), "section as JSON; '-' reads standard input", file, Occurrence::Optional, {} },
            { SettingName("base"), "section as shown before the change", file, Occurrence::Optional, {} },
            { SettingName("edit-id"), "id of an earlier attempt with an unknown outcome", identifier,
                Occurrence::Optional, {} },
            { SettingName("raw"), "show only the section, as edit reads it", nullptr, Occurrence::Switch, {} },
        });
        return catalogue;
    }

    auto reportError(const Core::Error& error) -> ExitCode
    {
        std::cerr << "error: " << describe(error) << '\n';
        if (error.kind == Core::ErrorKind::Conflict)
            return ExitCode::Conflict;
        return error.kind == Core::ErrorKind::InvalidArgument ? ExitCode::InvalidUsage : ExitCode::Failure;
    }

    auto sectionOf(const Settings::Resolution& settings) -> Core::Result<SectionId>
    {
        const bool isOverrides = settings.isSet("overrides");
        if (isOverrides == settings.isSet("team"))
            return Core::fail(Core::ErrorKind::InvalidArgument, "the command names no section or two sections",
                "give either --team TEAM or --overrides");
        return isOverrides ? SectionId::overrides() : SectionId::ofTeam(Core::TeamId(settings.text("team")));
    }

    auto readText(const std::string& path) -> Core::Result<std::string>
    {
        std::ostringstream text;
        if (path == "-") {
            text << std::cin.rdbuf();
            return text.str();
        }
        std::ifstream file(path);
        if (!file)
            return Core::fail(
                Core::ErrorKind::InvalidArgument, "cannot read the file '" + path + "'", "give a readable --file");
        text << file.rdbuf();
        return text.str();
    }

    auto readSection(const BlockingDocumentEditor& editor, const std::string& path)
        -> Core::Result<Configuration::SectionValues>
    {
        return readText(path).and_then([&](const std::string& text) { return editor.codec().decodeSection(text); });
    }

    auto generateEditId() -> std::string
    {
        Runtime::SystemRandom random;
        return toString(Core::Incarnation { random.next(), random.next() });
    }

    auto printValues(const Configuration::SteeringDocument& document) -> void
    {
        using Configuration::toString;
        std::cout << "document version " << document.version << "\n";
        for (const auto& value : effectiveValues(document)) {
            std::cout << "  " << toString(value.path) << " = " << toString(value.inForce.value) << "   held by "
                      << toString(value.inForce.definingSection);
            if (value.shadowed)
                std::cout << ", shadows " << toString(value.shadowed->value) << " of "
                          << toString(value.shadowed->definingSection);
            std::cout << '\n';
        }
    }

} // namespace

auto SectionCommand::name() const -> std::string { return "section"; }

auto SectionCommand::summary() const -> std::string
{
    return "show, edit or validate sections of the steering document";
}

auto SectionCommand::help() const -> std::string
{
    return "usage: dragonflywinch section show|edit|validate --store IP:PORT [--team TEAM|--overrides] "
           "[--file FILE]\n\n"
        + SettingsOptions::describe(catalogue())
        + "\nshow prints every effective value, its holder, and the value that an override shadows; with --raw, one\n"
          "section as edit reads it. edit replaces one section. It fails with a conflict if someone else changed the\n"
          "section after --base was shown or, without --base, after the command started.\n"
          "\nExamples:\n"
          "  dragonflywinch section show --store 10.0.0.1:7000\n"
          "  dragonflywinch section show --store 10.0.0.1:7000 --team desk --raw >desk.json\n"
          "  dragonflywinch section edit --store 10.0.0.1:7000 --team desk --file new.json --base desk.json\n"
          "  dragonflywinch section edit --store 10.0.0.1:7000 --overrides --file overrides.json\n"
          "\nExit codes: 0 done, 1 failed, 2 bad usage, 3 conflict\n";
}

auto SectionCommand::run(const std::vector<std::string>& arguments) -> ExitCode
{
    const std::string verb = arguments.empty() ? "" : arguments.front();
    if (verb != "show" && verb != "edit" && verb != "validate") {
        std::cerr << "error: use section show, section edit or section validate; see section --help\n";
        return ExitCode::InvalidUsage;
    }
    auto rawSettings = SettingsOptions::parseFlags(catalogue(), { arguments.begin() + 1, arguments.end() });
    const auto settings = Settings::resolve(catalogue(), rawSettings);
    if (!settings.problems().empty()) {
        printProblems(std::cerr, settings.problems());
        return ExitCode::InvalidUsage;
    }
    if (verb == "show")
        return show(settings);
    return verb == "edit" ? edit(settings) : validate(settings);
}

auto SectionCommand::show(const Settings::Resolution& settings) -> ExitCode
{
    BlockingDocumentEditor editor(Core::Address(settings.text("store")));
    const auto document = editor.read();
    if (!document)
        return reportError(document.error());
    if (!settings.isSet("raw")) {
        printValues(*document);
        return ExitCode::Success;
    }
    const auto section = sectionOf(settings);
    if (!section)
        return reportError(section.error());
    std::cout << editor.codec().encodeSection(valuesOf(*document, *section)) << '\n';
    return ExitCode::Success;
}

auto SectionCommand::edit(const Settings::Resolution& settings) -> ExitCode
{
    BlockingDocumentEditor editor(Core::Address(settings.text("store")));
    const auto section = sectionOf(settings);
    if (!section)
        return reportError(section.error());
    auto replacement = readSection(editor, settings.text("file"));
    if (!replacement)
        return reportError(replacement.error());
    const auto base = settings.isSet("base")
        ? readSection(editor, settings.text("base"))
        : editor.read().map([&](const auto& document) { return valuesOf(document, *section); });
    if (!base)
        return reportError(base.error());
    const auto id = settings.isSet("edit-id") ? settings.text("edit-id") : generateEditId();
    const auto accepted = editor.edit({ Configuration::EditId(id), *section, *base, std::move(*replacement) });
    if (!accepted)
        return reportError(accepted.error());
    std::cout << (accepted->wasAcceptedBefore ? "was accepted before" : "accepted") << " with version "
              << accepted->version << ", edit id " << id << '\n';
    return ExitCode::Success;
}

auto SectionCommand::validate(const Settings::Resolution& settings) -> ExitCode
{
    BlockingDocumentEditor editor(Core::Address(settings.text("store")));
    const auto section = sectionOf(settings);
    if (!section)
        return reportError(section.error());
    auto values = readSection(editor, settings.text("file"));
    if (!values)
        return reportError(values.error());
    auto document = editor.read();
    if (!document)
        return reportError(document.error());
    document->sections[*section] = std::move(*values);
    if (const auto composed = composeConfiguration(*document); !composed)
        return reportError(composed.error());
    std::cout << "valid together with version " << document->version << " of the document\n";
    return ExitCode::Success;
}

} // namespace App
