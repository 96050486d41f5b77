#pragma once

#include "membership/membershipview.h"

namespace App {

/// View of an entry VM that knows no other one.
class NoMembers : public Membership::MembershipView {
public:
    [[nodiscard]] auto members() const -> std::vector<Membership::Member> override { return {}; }
    [[nodiscard]] auto find(const Core::EntryVmId&) const -> std::optional<Membership::Member> override
    {
        return std::nullopt;
    }
};

} // namespace App
