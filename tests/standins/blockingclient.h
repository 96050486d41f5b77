#pragma once

#include "core/ids.h"

#include <map>
#include <optional>
#include <string>

namespace StandIns {

struct HttpReply {
    int status = 0;
    std::map<std::string, std::string> headers;
    std::string body;
};

struct HttpCall {
    Core::Address address;
    std::string method = "GET";
    std::string target;
    std::map<std::string, std::string> headers;
    std::string body;
};

/// Sends one HTTP request on a new connection and blocks until the response arrives. Returns nothing if the exchange
/// fails or takes longer than 15 s.
auto exchange(const HttpCall& call) -> std::optional<HttpReply>;

} // namespace StandIns
