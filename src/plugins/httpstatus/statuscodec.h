#pragma once

#include "core/error.h"
#include "spread/configurationstatus.h"

namespace HttpStatus {

/// Encodes the status as JSON. The format is described in docs/INTERFACES.md.
auto encodeStatus(const Spread::ConfigurationStatus& status) -> std::string;
/// Decodes the result of encodeStatus(). Fails with InvalidMessage.
auto decodeStatus(const std::string& text) -> Core::Result<Spread::ConfigurationStatus>;

} // namespace HttpStatus
