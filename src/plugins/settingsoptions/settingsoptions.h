#pragma once

#include "settings/resolution.h"

namespace SettingsOptions {

/// Parses flags in the forms "--name value" and "--name=value". Unknown flags are returned as raw values, so that the
/// resolution reports them together with all other problems.
auto parseFlags(const Settings::Catalogue& catalogue, const std::vector<std::string>& arguments)
    -> Settings::RawSettings;

/// Returns the settings from environment variables with the prefix DRAGONFLYWINCH_.
auto readEnvironment() -> std::vector<Settings::RawValue>;

/// Formats the settings as a table for help texts.
auto describe(const Settings::Catalogue& catalogue) -> std::string;

} // namespace SettingsOptions
