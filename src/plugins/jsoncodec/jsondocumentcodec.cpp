#include "jsoncodec/jsondocumentcodec.h"

#include <nlohmann/json.hpp>

namespace JsonCodec {

namespace {

    using Configuration::EditId;
    using Configuration::SectionId;
    using Configuration::SectionValues;
    using Configuration::SteeringDocument;
    using Configuration::Value;
    using Configuration::ValuePath;
    using nlohmann::json;

    constexpr auto sectionsName = "sections";
    constexpr auto overridesName = "overrides";
    constexpr auto editsName = "edits";
    constexpr std::size_t maximumDepth = 8;
    constexpr auto formatRemedy = "correct it as docs/INTERFACES.md describes";

    /// Collects all problems of a text, so that one error reports them together.
    class Problems {
    public:
        auto add(const std::string& where, const std::string& what) -> void
        {
            m_text += (m_text.empty() ? "" : "; ") + where + " " + what;
        }
        [[nodiscard]] auto isEmpty() const -> bool { return m_text.empty(); }
        [[nodiscard]] auto error() const -> tl::unexpected<Core::Error>
        {
            return Core::fail(Core::ErrorKind::InvalidDocument, m_text, formatRemedy);
        }

    private:
        std::string m_text;
    };

    auto parseJson(const std::string& text, Problems& problems) -> json
    {
        try {
            return json::parse(text);
        } catch (const json::parse_error& error) {
            problems.add("the text", std::string("is not JSON: ") + error.what());
            return json::object();
        }
    }

    auto flatten(const json& value, const std::vector<std::string>& names, SectionValues& values, Problems& problems)
        -> void
    {
        const auto where = Configuration::toString(ValuePath(names));
        if (value.is_object() && names.size() < maximumDepth) {
            if (value.empty() && !names.empty())
                problems.add(where, "is an empty object; remove it");
            for (const auto& [name, child] : value.items()) {
                auto childNames = names;
                childNames.push_back(name);
                flatten(child, childNames, values, problems);
            }
        } else if (names.empty()) {
            problems.add("the section", "is not a JSON object");
        } else if (value.is_boolean()) {
            values[ValuePath(names)] = value.get<bool>();
        } else if (value.is_number()) {
            values[ValuePath(names)] = value.get<double>();
        } else if (value.is_string()) {
            values[ValuePath(names)] = value.get<std::string>();
        } else {
            problems.add(where, "is not a boolean, a number or a string");
        }
    }

    auto toJson(const Value& value) -> json
    {
        if (const auto* flag = std::get_if<bool>(&value))
            return *flag;
        if (const auto* text = std::get_if<std::string>(&value))
            return *text;
        const auto number = std::get<double>(value);
        const auto whole = static_cast<std::int64_t>(number);
        return static_cast<double>(whole) == number ? json(whole) : json(number);
    }

    auto unflatten(const SectionValues& values) -> json
    {
        auto section = json::object();
        for (const auto& [path, value] : values) {
            auto* target = &section;
            for (const auto& name : path.value())
                target = &(*target)[name];
            *target = toJson(value);
        }
        return section;
    }

    auto sectionFor(const std::string& name) -> SectionId
    {
        return name == overridesName ? SectionId::overrides() : SectionId::ofTeam(Core::TeamId(name));
    }

    auto nameOf(const SectionId& section) -> std::string
    {
        return section.isOverrides() ? overridesName : section.team().value();
    }

    auto decodeEdits(const json& edits, SteeringDocument& document, Problems& problems) -> void
    {
        if (!edits.is_object()) {
            problems.add(editsName, "is not a JSON object");
            return;
        }
        for (const auto& [name, ids] : edits.items()) {
            for (const auto& id : ids) {
                if (id.is_string())
                    document.recentEdits[sectionFor(name)].push_back(EditId(id.get<std::string>()));
                else
                    problems.add(std::string(editsName) + "." + name, "contains a value that is not a string");
            }
        }
    }

    auto decodeSections(const json& sections, SteeringDocument& document, Problems& problems) -> void
    {
        if (!sections.is_object()) {
            problems.add(sectionsName, "is not a JSON object");
            return;
        }
        for (const auto& [team, section] : sections.items()) {
            if (team.empty() || team == overridesName)
                problems.add("team '" + team + "'", "has a name that is reserved; choose another");
            else
                flatten(section, {}, document.sections[sectionFor(team)], problems);
        }
    }

} // namespace

auto JsonDocumentCodec::decode(const std::string& text, Core::Version version) const -> Core::Result<SteeringDocument>
{
    Problems problems;
    const auto root = parseJson(text, problems);
    SteeringDocument document { version, {}, {} };
    if (!root.is_object())
        problems.add("the document", "is not a JSON object");
    else {
        for (const auto& [name, content] : root.items()) {
            if (name == sectionsName)
                decodeSections(content, document, problems);
            else if (name == overridesName)
                flatten(content, {}, document.sections[SectionId::overrides()], problems);
            else if (name == editsName)
                decodeEdits(content, document, problems);
            else
                problems.add("the document", "has the unknown member '" + name + "'");
        }
    }
    if (!problems.isEmpty())
        return problems.error();
    return document;
}

auto JsonDocumentCodec::encode(const SteeringDocument& document) const -> std::string
{
    json root { { sectionsName, json::object() }, { overridesName, json::object() }, { editsName, json::object() } };
    for (const auto& [section, values] : document.sections) {
        if (section.isOverrides())
            root[overridesName] = unflatten(values);
        else
            root[sectionsName][nameOf(section)] = unflatten(values);
    }
    for (const auto& [section, ids] : document.recentEdits) {
        auto& texts = root[editsName][nameOf(section)] = json::array();
        for (const auto& id : ids)
            texts.push_back(id.value());
    }
    constexpr int indent = 2;
    return root.dump(indent, ' ', false, json::error_handler_t::replace);
}

auto JsonDocumentCodec::decodeSection(const std::string& text) const -> Core::Result<SectionValues>
{
    Problems problems;
    const auto root = parseJson(text, problems);
    SectionValues values;
    flatten(root, {}, values, problems);
    if (!problems.isEmpty())
        return problems.error();
    return values;
}

auto JsonDocumentCodec::encodeSection(const SectionValues& values) const -> std::string
{
    constexpr int indent = 2;
    return unflatten(values).dump(indent, ' ', false, json::error_handler_t::replace);
}

} // namespace JsonCodec
