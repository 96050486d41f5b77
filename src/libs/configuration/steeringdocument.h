#pragma once

#include "core/ids.h"

#include <map>
#include <string>
#include <variant>
#include <vector>

namespace Configuration {

/// Path of one value as a list of names, for example { "services", "stock", "rank" }.
using ValuePath = Core::StrongType<struct ValuePathTag, std::vector<std::string>>;
using Value = std::variant<bool, double, std::string>;
/// Values that one section sets; values that it does not set are absent.
using SectionValues = std::map<ValuePath, Value>;
/// Chosen by the author of an edit. After a lost response it shows whether the edit was accepted.
using EditId = Core::StrongType<struct EditIdTag, std::string>;

/// Part of the document that one edit replaces: a team's section, or the founder's overrides.
class SectionId {
public:
    /// Constructs the id of the overrides.
    SectionId() = default;
    static auto ofTeam(Core::TeamId team) -> SectionId { return SectionId(std::move(team)); }
    static auto overrides() -> SectionId { return {}; }

    [[nodiscard]] auto isOverrides() const -> bool { return m_team.value().empty(); }
    /// Requires a team's section.
    [[nodiscard]] auto team() const -> const Core::TeamId& { return m_team; }

    friend auto operator<=>(const SectionId&, const SectionId&) -> std::strong_ordering = default;

private:
    explicit SectionId(Core::TeamId team)
        : m_team(std::move(team))
    {
    }

    Core::TeamId m_team;
};

/// Steering document as stored: the teams' sections and the founder's overrides.
struct SteeringDocument {
    Core::Version version;
    std::map<SectionId, SectionValues> sections;
    /// Ids of the last edits of each section, oldest first.
    std::map<SectionId, std::vector<EditId>> recentEdits;
};

/// Joins the names with dots, for example "services.stock.rank".
auto toString(const ValuePath& path) -> std::string;
/// Formats the value as in JSON, but strings without quotes.
auto toString(const Value& value) -> std::string;
/// Returns for example "section 'desk'", or "the overrides".
auto toString(const SectionId& section) -> std::string;

/// Returns the values of a section; empty if the document has no such section.
auto valuesOf(const SteeringDocument& document, const SectionId& section) -> SectionValues;

} // namespace Configuration
