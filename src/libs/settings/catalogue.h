#pragma once

#include "core/strongtype.h"
#include "settings/valuerule.h"

#include <optional>
#include <string>
#include <vector>

namespace Settings {

/// Name of a setting as its flag has it, without the leading "--".
using SettingName = Core::StrongType<struct SettingNameTag, std::string>;

/// How often a setting may be given.
enum class Occurrence : std::uint8_t {
    Required,
    Optional,
    /// Any number of times; a list in one value is separated by commas.
    Repeated,
    /// Flag without a value.
    Switch,
};

struct Setting {
    SettingName name;
    std::string description;
    /// Not used for Switch.
    std::shared_ptr<const ValueRule> rule;
    Occurrence occurrence = Occurrence::Optional;
    /// Value when no source gives one; empty for none.
    std::string defaultValue;
};

/// Settings that a command knows.
class Catalogue {
public:
    explicit Catalogue(std::vector<Setting> settings);

    [[nodiscard]] auto settings() const -> const std::vector<Setting>& { return m_settings; }
    /// Null when there is no such setting.
    [[nodiscard]] auto find(const SettingName& name) const -> const Setting*;
    /// Known name with the smallest edit distance; empty when none is similar.
    [[nodiscard]] auto nearest(const SettingName& name) const -> std::optional<SettingName>;

private:
    std::vector<Setting> m_settings;
};

/// Environment variable of a setting: "peer-listen" becomes "DRAGONFLYWINCH_PEER_LISTEN".
auto environmentVariable(const SettingName& name) -> std::string;

/// Setting of an environment variable; empty when the variable does not have the prefix DRAGONFLYWINCH_.
auto settingOfVariable(const std::string& variable) -> std::optional<SettingName>;

} // namespace Settings
