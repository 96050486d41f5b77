#pragma once

#include "core/error.h"
#include "spread/configurationstatus.h"

namespace HttpStatus {

/// JSON, as docs/INTERFACES.md describes it.
auto encodeStatus(const Spread::ConfigurationStatus& status) -> std::string;
/// Fails with InvalidMessage.
auto decodeStatus(const std::string& text) -> Core::Result<Spread::ConfigurationStatus>;

} // namespace HttpStatus
