#include "timeline/filter.h"

#include <algorithm>

namespace Timeline {

namespace {

    auto refersTo(const Entry& entry, const Core::EntryVmId& vm) -> bool
    {
        const auto& fields = entry.event.fields;
        return entry.process == vm || std::any_of(fields.begin(), fields.end(), [&vm](const Ports::EventField& field) {
            return field.name == "vm" && field.value == vm.value();
        });
    }

} // namespace

auto Filter::matches(const Entry& entry) const -> bool
{
    if (!request.value().empty() && entry.event.request != request)
        return false;
    if (!vm.value().empty() && !refersTo(entry, vm))
        return false;
    if (!entry.event.kind.value().starts_with(kindPrefix))
        return false;
    return (!since || entry.time.wall >= *since) && (!until || entry.time.wall < *until);
}

} // namespace Timeline
