#include "suspicionpeer/suspicionpeer.h"

#include "cbor/cbor.h"

namespace SuspicionPeer {

namespace {

    using nlohmann::json;

    constexpr auto suspicionKind = "dispatch.suspicion";
    constexpr Core::Millis sendTimeout { 200 };

    auto encode(const Dispatch::CrashSuspicion& suspicion) -> std::string
    {
        json upstreams = json::array();
        for (const auto& upstream : suspicion.upstreams)
            upstreams.push_back(upstream.value());
        return Cbor::pack(json { suspicion.fingerprint.high, suspicion.fingerprint.low, upstreams });
    }

    auto decode(const std::string& payload) -> Core::Result<Dispatch::CrashSuspicion>
    {
        return Cbor::unpack(payload, "a crash suspicion", [](const json& fields) {
            Dispatch::CrashSuspicion suspicion;
            suspicion.fingerprint = { fields.at(0).get<std::uint64_t>(), fields.at(1).get<std::uint64_t>() };
            for (const auto& upstream : fields.at(2))
                suspicion.upstreams.insert(Core::UpstreamId(upstream.get<std::string>()));
            return suspicion;
        });
    }

} // namespace

SuspicionPeer::SuspicionPeer(Ports::PeerTransport& transport)
    : m_transport(transport)
{
}

auto SuspicionPeer::send(
    const Fleet::EntryVm& target, const Dispatch::CrashSuspicion& suspicion, std::function<void()> callback) -> void
{
    m_transport.call(target.peerAddress, { suspicionKind, encode(suspicion) }, sendTimeout,
        [callback = std::move(callback)](const Core::Result<std::string>&) { callback(); });
}

auto registerSuspicionHandler(Ports::PeerRouter& router, SuspicionReceiver receiver) -> void
{
    router.registerHandler(suspicionKind,
        [receiver = std::move(receiver)](const std::string& payload, const Ports::PeerRouter::Respond& respond) {
            const auto suspicion = decode(payload);
            if (!suspicion) {
                respond(tl::unexpected(suspicion.error()));
                return;
            }
            receiver(*suspicion);
            respond(std::string());
        });
}

} // namespace SuspicionPeer
