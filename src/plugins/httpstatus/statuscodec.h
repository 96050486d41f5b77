#pragma once

#include "core/error.h"
#include "replication/configurationstatus.h"

namespace HttpStatus {

/// Encodes the status as JSON. The format is described in docs/INTERFACES.md.
auto encodeStatus(const Replication::ConfigurationStatus& status) -> std::string;
/// Decodes the result of encodeStatus(). Fails with InvalidMessage.
auto decodeStatus(const std::string& text) -> Core::Result<Replication::ConfigurationStatus>;

} // namespace HttpStatus
