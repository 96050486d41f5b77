#pragma once

#include "core/clientaddress.h"
#include "core/request.h"

#include <optional>
#include <vector>

namespace Ports {

/// Query of a caller for the entry VMs to use.
struct LookupQuery {
    Core::ServiceId service;
    /// Address of the client, which determines its client block; empty if unknown.
    std::optional<Core::ClientAddress> client;
};

/// One entry VM in a look-up answer.
struct LookupTarget {
    Core::EntryVmId vm;
    Core::Address address;
    Core::FailureDomainId failureDomain;
    /// Share of the caller's requests that should be sent to this VM, 0 to 1.
    Core::Share weight;
    /// Prefix of idempotency keys whose home is this VM; empty if the VM has not announced it yet.
    std::string keyPrefix;
};

struct LookupAnswer {
    std::vector<LookupTarget> targets;
    /// Time for which callers may cache the answer.
    Core::Millis lifetime { 0 };
};

/// Entry point for front ends. Its decisions are independent of the wire protocol.
class RequestHandler {
public:
    virtual ~RequestHandler() = default;
    virtual auto lookup(const LookupQuery& query) -> Core::Result<LookupAnswer> = 0;
    /// Calls back exactly once.
    virtual auto handle(Core::ServiceRequest request, Core::ReplyCallback callback) -> void = 0;
};

} // namespace Ports
