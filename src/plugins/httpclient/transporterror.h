#pragma once

#include "httpclient/connectionpool.h"

namespace HttpClient::detail {

/// Returns the point at which an exchange failed whose request was being written or has been.
auto failureStageOf(const Connection& connection, const boost::system::error_code& error) -> FailureStage;
/// Returns true if a connection could not be opened because this process or its VM lacks a resource, whatever the
/// server does.
auto isOwnShortage(const boost::system::error_code& error) -> bool;

} // namespace HttpClient::detail
