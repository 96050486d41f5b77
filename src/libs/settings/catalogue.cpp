#include "settings/catalogue.h"

#include <algorithm>
#include <numeric>

namespace Settings {

namespace {

    constexpr std::string_view environmentPrefix = "DRAGONFLYWINCH_";

    auto editDistance(const std::string& left, const std::string& right) -> std::size_t
    {
        std::vector<std::size_t> row(right.size() + 1);
        std::iota(row.begin(), row.end(), std::size_t { 0 });
        for (std::size_t i = 0; i < left.size(); ++i) {
            auto diagonal = row[0];
            row[0] = i + 1;
            for (std::size_t j = 0; j < right.size(); ++j) {
                const auto substituted = diagonal + (left[i] == right[j] ? 0 : 1);
                diagonal = row[j + 1];
                row[j + 1] = std::min({ substituted, row[j] + 1, row[j + 1] + 1 });
            }
        }
        return row.back();
    }

    /// Returns true if at most about a third of the longer name differs.
    auto isSimilar(const std::string& left, const std::string& right, std::size_t distance) -> bool
    {
        return distance * 3 <= std::max(left.size(), right.size()) + 2;
    }

    auto toUpper(char character) -> char
    {
        return character >= 'a' && character <= 'z' ? static_cast<char>(character - 'a' + 'A') : character;
    }

    auto toLower(char character) -> char
    {
        return character >= 'A' && character <= 'Z' ? static_cast<char>(character - 'A' + 'a') : character;
    }

} // namespace

Catalogue::Catalogue(std::vector<Setting> settings)
    : m_settings(std::move(settings))
{
}

auto Catalogue::find(const SettingName& name) const -> const Setting*
{
    const auto found = std::find_if(
        m_settings.begin(), m_settings.end(), [&name](const Setting& setting) { return setting.name == name; });
    return found == m_settings.end() ? nullptr : &*found;
}

auto Catalogue::nearest(const SettingName& name) const -> std::optional<SettingName>
{
    std::optional<SettingName> best;
    std::size_t bestDistance = 0;
    for (const auto& setting : m_settings) {
        const auto distance = editDistance(setting.name.value(), name.value());
        if (isSimilar(setting.name.value(), name.value(), distance) && (!best || distance < bestDistance)) {
            best = setting.name;
            bestDistance = distance;
        }
    }
    return best;
}

auto environmentVariable(const SettingName& name) -> std::string
{
    std::string variable(environmentPrefix);
    for (const auto character : name.value())
        variable += character == '-' ? '_' : toUpper(character);
    return variable;
}

auto settingFromVariable(const std::string& variable) -> std::optional<SettingName>
{
    if (!variable.starts_with(environmentPrefix))
        return std::nullopt;
    std::string name;
    for (const auto character : variable.substr(environmentPrefix.size()))
        name += character == '_' ? '-' : toLower(character);
    return SettingName(name);
}

} // namespace Settings
