#pragma once

#include "settings/resolution.h"

namespace SettingsOptions {

/// Reads flags in the forms "--name value" and "--name=value". Unknown flags are kept as given values, so that the
/// resolution reports them beside the other problems.
auto parseFlags(const Settings::Catalogue& catalogue, const std::vector<std::string>& arguments) -> Settings::Given;

/// Variables of this process with the prefix DRAGONFLYWINCH_.
auto readEnvironment() -> std::vector<Settings::GivenValue>;

/// Table of the settings for help texts.
auto describe(const Settings::Catalogue& catalogue) -> std::string;

} // namespace SettingsOptions
