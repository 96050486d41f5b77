#pragma once

#include "core/refusal.h"

namespace Dispatch {

/// Returns a refusal with the message and the remedy for the reason.
auto refusalFor(Core::RunOutcome outcome, Core::RefusalReason reason) -> Core::Refusal;

} // namespace Dispatch
