#pragma once

#include "dispatch/requestquarantine.h"

#include <nlohmann/json.hpp>

namespace CrashReportPeer {

auto encodeFingerprint(const Dispatch::RequestFingerprint& fingerprint) -> nlohmann::json;
/// Throws a nlohmann::json::exception for any other value.
auto decodeFingerprint(const nlohmann::json& fields) -> Dispatch::RequestFingerprint;

auto encodeCrashReport(const Dispatch::CrashReport& crashReport) -> nlohmann::json;
/// Throws a std::exception if the value is no crash report, names no upstream, or has an age that no report reaches.
auto decodeCrashReport(const nlohmann::json& fields) -> Dispatch::CrashReport;

} // namespace CrashReportPeer
