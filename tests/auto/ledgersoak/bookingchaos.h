#pragma once

#include "fakes/booking/bookingfleet.h"

#include <deque>

/// One randomised run: entry VMs crash, restart, pause, lose each other and suspect each other, upstreams shed, lose
/// and crash, and callers send the same keys through all entry VMs again and again.
class BookingChaos {
public:
    explicit BookingChaos(std::uint64_t seed);

    auto run(Core::Duration duration) -> void;

    [[nodiscard]] auto fleet() -> Fakes::BookingFleet& { return m_fleet; }
    [[nodiscard]] auto answers() const -> std::size_t { return m_answers; }
    [[nodiscard]] auto unknowns() const -> std::size_t { return m_unknowns; }
    [[nodiscard]] auto sent() const -> std::size_t { return m_sent; }

private:
    struct SentKey {
        Core::RequestKey key;
        std::string service;
    };

    auto step() -> void;
    auto sendNewKey() -> void;
    auto sendOldKey() -> void;
    auto send(const SentKey& sent, std::size_t copies) -> void;
    auto disturbProcesses() -> void;
    auto disturbNetwork() -> void;
    auto disturbViews() -> void;
    auto scriptUpstreams(std::size_t index) -> void;
    auto anyNode() -> std::size_t { return m_fleet.world.below(size); }
    auto countReplies() -> void;

    static constexpr std::size_t size = 4;

    Fakes::BookingFleet m_fleet;
    std::deque<SentKey> m_keys;
    std::vector<Fakes::SentReply> m_pending;
    std::size_t m_sent = 0;
    std::size_t m_answers = 0;
    std::size_t m_unknowns = 0;
};
