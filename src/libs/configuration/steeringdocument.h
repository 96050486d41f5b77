#pragma once

#include "core/ids.h"

#include <map>
#include <string>
#include <variant>
#include <vector>

namespace Configuration {

/// Names that lead to one value, for example { "services", "stock", "rank" }.
using ValuePath = Core::StrongType<struct ValuePathTag, std::vector<std::string>>;
using Value = std::variant<bool, double, std::string>;
/// What one section sets. Values that it does not set are absent.
using SectionValues = std::map<ValuePath, Value>;
/// Chosen by whoever edits; tells whether an edit whose answer was lost was accepted.
using EditId = Core::StrongType<struct EditIdTag, std::string>;

/// Part of the document that one edit replaces: a team's section, or the founder's overrides.
class SectionId {
public:
    /// The overrides.
    SectionId() = default;
    static auto ofTeam(Core::TeamId team) -> SectionId { return SectionId(std::move(team)); }
    static auto overrides() -> SectionId { return {}; }

    [[nodiscard]] auto isOverrides() const -> bool { return m_team.value().empty(); }
    /// Only for a team's section.
    [[nodiscard]] auto team() const -> const Core::TeamId& { return m_team; }

    friend auto operator<=>(const SectionId&, const SectionId&) -> std::strong_ordering = default;

private:
    explicit SectionId(Core::TeamId team)
        : m_team(std::move(team))
    {
    }

    Core::TeamId m_team;
};

/// The one document that steers everything, as it is in the store.
struct SteeringDocument {
    Core::Version version;
    std::map<SectionId, SectionValues> sections;
    /// Ids of the last edits of each section, oldest first.
    std::map<SectionId, std::vector<EditId>> recentEdits;
};

/// "services.stock.rank".
auto toString(const ValuePath& path) -> std::string;
/// As in JSON, but texts without quotes.
auto toString(const Value& value) -> std::string;
/// "section 'desk'" or "the overrides".
auto toString(const SectionId& section) -> std::string;

/// Values of a section; empty when the document has no such section.
auto valuesOf(const SteeringDocument& document, const SectionId& section) -> SectionValues;

} // namespace Configuration
