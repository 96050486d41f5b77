#pragma once

#include "core/refusal.h"

namespace Dispatch {

/// Refusal with the text and remedy that belong to the reason.
auto refusalFor(Core::RunOutcome outcome, Core::RefusalReason reason) -> Core::Refusal;

} // namespace Dispatch
