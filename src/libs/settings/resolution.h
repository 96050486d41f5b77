#pragma once

#include "settings/catalogue.h"

namespace Settings {

/// Where an effective value came from, in order of precedence.
enum class Source : std::uint8_t { Flag, Environment, Default, Unset };

auto toString(Source source) -> std::string;

/// Value as a source gave it, not checked yet.
struct GivenValue {
    SettingName name;
    std::string text;
};

/// What the sources gave.
struct Given {
    std::vector<GivenValue> flags;
    /// Variables with the prefix DRAGONFLYWINCH_.
    std::vector<GivenValue> environment;
    /// Found while reading the sources, for example a flag without its value.
    std::vector<Core::Error> problems;
};

struct EffectiveSetting {
    SettingName name;
    Source source = Source::Unset;
    /// One value, several for a repeated setting, none when unset.
    std::vector<std::string> values;
};

/// Effective settings and everything that is wrong with them.
class Resolution {
public:
    Resolution(std::vector<EffectiveSetting> settings, std::vector<Core::Error> problems);

    [[nodiscard]] auto settings() const -> const std::vector<EffectiveSetting>& { return m_settings; }
    [[nodiscard]] auto problems() const -> const std::vector<Core::Error>& { return m_problems; }

    /// Value of a setting; empty when unset.
    [[nodiscard]] auto text(std::string_view name) const -> std::string;
    [[nodiscard]] auto list(std::string_view name) const -> std::vector<std::string>;
    /// Only for settings with an IntegerRule, when there are no problems.
    [[nodiscard]] auto integer(std::string_view name) const -> std::int64_t;
    [[nodiscard]] auto isSet(std::string_view name) const -> bool;

private:
    std::vector<EffectiveSetting> m_settings;
    std::vector<Core::Error> m_problems;
};

/// Chooses the effective value of every setting, flag before environment before default, and checks all of them.
auto resolve(const Catalogue& catalogue, const Given& given) -> Resolution;

} // namespace Settings
