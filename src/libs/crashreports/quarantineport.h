#pragma once

#include "core/error.h"
#include "core/ids.h"
#include "dispatch/requestquarantine.h"

#include <functional>

namespace CrashReports {

/// Part of the requests that an entry VM refuses, in the order of their fingerprints.
struct QuarantinePage {
    /// Largest number of reports in a page.
    static constexpr std::size_t maximumReports = 128;

    std::vector<Dispatch::CrashReport> reports;
    /// Nothing follows.
    bool isLast = true;
};

/// Asks other entry VMs for the requests that they refuse.
class QuarantinePort {
public:
    using PageCallback = std::function<void(Core::Result<QuarantinePage>)>;

    virtual ~QuarantinePort() = default;
    /// Asks for the page behind the given fingerprint, or for the first one. Calls back exactly once: with an error if
    /// the entry VM does not answer in time or has too much to answer.
    virtual auto fetch(const Core::Address& entryVm, const std::optional<Dispatch::RequestFingerprint>& after,
        PageCallback callback) -> void
        = 0;
};

} // namespace CrashReports
