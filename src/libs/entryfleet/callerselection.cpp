#include "entryfleet/callerselection.h"

#include <algorithm>
#include <map>

namespace EntryFleet {

namespace {

    /// A failure domain keeps serving its callers when one of its VMs is lost.
    constexpr std::size_t minimumPerDomain = 2;
    /// A VM is large if it has at least this share of the processor time of the largest one in its failure domain.
    constexpr double largeShare = 0.5;

    /// Sums of fractions of a core are not exact.
    constexpr double negligibleCores = 0.001;

    /// Selects the VMs of one failure domain.
    auto selectInDomain(CallerTargets& targets, std::set<Core::EntryVmId>& selected) -> void
    {
        const bool isSizeUnknown = std::any_of(
            targets.begin(), targets.end(), [](const CallerTarget& target) { return target.processor.value() <= 0; });
        if (isSizeUnknown) {
            for (const auto& target : targets)
                selected.insert(target.id);
            return;
        }
        std::sort(targets.begin(), targets.end(), [](const CallerTarget& one, const CallerTarget& other) {
            return one.processor != other.processor ? one.processor > other.processor : one.id < other.id;
        });
        const double large = largeShare * targets.front().processor.value();
        // Processor time that the VMs selected so far lack because some of them are busy.
        double lacking = 0;
        std::size_t count = 0;
        for (const auto& target : targets) {
            if (target.processor.value() < large && count >= minimumPerDomain) {
                if (lacking < negligibleCores)
                    break;
                lacking -= target.processor.value();
            }
            if (target.isBusy)
                lacking += target.processor.value();
            selected.insert(target.id);
            ++count;
        }
    }

} // namespace

auto selectForCallers(CallerTargets targets) -> std::set<Core::EntryVmId>
{
    std::map<Core::FailureDomainId, CallerTargets> domains;
    for (auto& target : targets)
        domains[target.failureDomain].push_back(std::move(target));
    std::set<Core::EntryVmId> selected;
    for (auto& [id, members] : domains)
        selectInDomain(members, selected);
    return selected;
}

} // namespace EntryFleet
