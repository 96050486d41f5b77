#pragma once

#include "settings/catalogue.h"

namespace Settings {

/// Origin of an effective value, in order of precedence.
enum class Source : std::uint8_t { Flag, Environment, Default, Unset };

auto toString(Source source) -> std::string;

/// Value as read from a source, not yet validated.
struct RawValue {
    SettingName name;
    std::string text;
};

/// Values read from all sources.
struct RawSettings {
    std::vector<RawValue> flags;
    /// Variables with the prefix DRAGONFLYWINCH_.
    std::vector<RawValue> environment;
    /// Problems found while reading the sources, for example a flag without a value.
    std::vector<Core::Error> problems;
};

struct EffectiveSetting {
    SettingName name;
    Source source = Source::Unset;
    /// One value, or several for a repeated setting; empty if unset.
    std::vector<std::string> values;
};

/// Effective settings and all problems found in them.
class Resolution {
public:
    Resolution(std::vector<EffectiveSetting> settings, std::vector<Core::Error> problems);

    [[nodiscard]] auto settings() const -> const std::vector<EffectiveSetting>& { return m_settings; }
    [[nodiscard]] auto problems() const -> const std::vector<Core::Error>& { return m_problems; }

    /// Returns the first value of a setting; empty if unset.
    [[nodiscard]] auto text(std::string_view name) const -> std::string;
    [[nodiscard]] auto list(std::string_view name) const -> std::vector<std::string>;
    /// Requires a setting with an IntegerRule, and that there are no problems.
    [[nodiscard]] auto integer(std::string_view name) const -> std::int64_t;
    [[nodiscard]] auto isSet(std::string_view name) const -> bool;

private:
    std::vector<EffectiveSetting> m_settings;
    std::vector<Core::Error> m_problems;
};

/// Determines the effective value of every setting and validates it. Flags take precedence over the environment, and
/// the environment over defaults.
auto resolve(const Catalogue& catalogue, const RawSettings& rawSettings) -> Resolution;

} // namespace Settings
