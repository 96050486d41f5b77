#pragma once

#include "core/error.h"
#include "core/ids.h"
#include "quotas/permits.h"

#include <functional>
#include <vector>

namespace Quotas {

/// Message of a VM to its parent in the tree, about one organisation.
struct PermitOffer {
    Core::OrganisationId organisation;
    /// Permits that go over to the parent; the sender has them no more.
    Permits given;
    /// Permits that the sender lacks for requests that wait, its children's included.
    Permits needed;
};

struct PermitMessage {
    Core::EntryVmId sender;
    Core::ProcessStartId start;
    /// Rises with each message of the process. A message that arrives twice counts once.
    std::uint64_t sequence = 0;
    /// Room for unused permits that the sender leaves to its parent, in units of what one VM has.
    double delegatedRoom = 0;
    /// Number of VMs that the sender knows from the store.
    std::size_t vmCount = 0;
    std::vector<PermitOffer> offers;
};

struct PermitGrant {
    Core::OrganisationId organisation;
    Permits granted;
};

/// Answer of the parent.
struct PermitReply {
    std::size_t vmCount = 0;
    /// Permits that go over to the child. Includes the given ones for which the parent has no room.
    std::vector<PermitGrant> grants;
    /// Organisations that lack permits somewhere.
    std::vector<Core::OrganisationId> scarce;
};

/// Sends messages about permits to other VMs.
class PermitPort {
public:
    using ReplyCallback = std::function<void(Core::Result<PermitReply>)>;

    virtual ~PermitPort() = default;
    /// Calls back exactly once. The error Unreachable means that the message did not leave this VM.
    virtual auto send(const Core::Address& vm, const PermitMessage& message, ReplyCallback callback) -> void = 0;
};

} // namespace Quotas
