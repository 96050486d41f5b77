#pragma once

#include "core/request.h"

#include <nlohmann/json_fwd.hpp>

/// Converts requests and replies between entry VMs to and from JSON values, which are sent as CBOR.
namespace RequestCodec {

/// Omits the deadline, because the clocks of two processes differ. Messages carry the remaining time instead.
auto toJson(const Core::ServiceRequest& request) -> nlohmann::json;
/// Throws an exception derived from std::exception if the value is not a valid request.
auto requestFrom(const nlohmann::json& value) -> Core::ServiceRequest;
auto toJson(const Core::Reply& reply) -> nlohmann::json;
/// Throws an exception derived from std::exception if the value is not a valid reply.
auto replyFrom(const nlohmann::json& value) -> Core::Reply;

} // namespace RequestCodec
