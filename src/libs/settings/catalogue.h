#pragma once

#include "core/strongtype.h"
#include "settings/valuerule.h"

#include <optional>
#include <string>
#include <vector>

namespace Settings {

/// Name of a setting, which is its flag without the leading "--".
using SettingName = Core::StrongType<struct SettingNameTag, std::string>;

/// Number of times that a setting may be specified.
enum class Occurrence : std::uint8_t {
    Required,
    Optional,
    /// Any number of times; one value may also be a comma-separated list.
    Repeated,
    /// Flag without a value.
    Switch,
};

struct Setting {
    SettingName name;
    std::string description;
    /// Unused for Switch.
    std::shared_ptr<const ValueRule> rule;
    Occurrence occurrence = Occurrence::Optional;
    /// Value to use if no source specifies one; empty for no default.
    std::string defaultValue;
};

/// Settings that a command accepts.
class Catalogue {
public:
    explicit Catalogue(std::vector<Setting> settings);

    [[nodiscard]] auto settings() const -> const std::vector<Setting>& { return m_settings; }
    /// Returns nullptr if there is no such setting.
    [[nodiscard]] auto find(const SettingName& name) const -> const Setting*;
    /// Returns the known name with the smallest edit distance; empty if no name is similar.
    [[nodiscard]] auto nearest(const SettingName& name) const -> std::optional<SettingName>;

private:
    std::vector<Setting> m_settings;
};

/// Returns the environment variable of a setting, for example "DRAGONFLYWINCH_PEER_LISTEN" for "peer-listen".
auto environmentVariable(const SettingName& name) -> std::string;

/// Returns the setting of an environment variable; empty if the variable does not have the prefix DRAGONFLYWINCH_.
auto settingFromVariable(const std::string& variable) -> std::optional<SettingName>;

} // namespace Settings
