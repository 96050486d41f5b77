#include "crashreportpeer/crashreportcodec.h"

#include <stdexcept>

namespace CrashReportPeer {

namespace {

    using nlohmann::json;

    /// Position of the age in milliseconds, which a report of a crash that has just happened may lack.
    constexpr std::size_t ageIndex = 3;

    auto decodeAge(const json& value) -> Core::Duration
    {
        const auto age = value.get<Core::Millis::rep>();
        if (age < 0 || age > Core::Millis(Dispatch::RequestQuarantine::quarantineTime).count())
            throw std::out_of_range("the age is not in the expected range");
        return Core::Millis(age);
    }

} // namespace

auto encodeFingerprint(const Dispatch::RequestFingerprint& fingerprint) -> json
{
    return json::array({ fingerprint.high, fingerprint.low });
}

auto decodeFingerprint(const json& fields) -> Dispatch::RequestFingerprint
{
    return { fields.at(0).get<std::uint64_t>(), fields.at(1).get<std::uint64_t>() };
}

auto encodeCrashReport(const Dispatch::CrashReport& crashReport) -> json
{
    auto fields = encodeFingerprint(crashReport.fingerprint);
    auto upstreams = json::array();
    for (const auto& upstream : crashReport.upstreams)
        upstreams.push_back(upstream.value());
    fields.push_back(std::move(upstreams));
    // Rounded up, so that no quarantine is prolonged.
    fields.push_back(std::chrono::ceil<Core::Millis>(crashReport.age).count());
    return fields;
}

auto decodeCrashReport(const json& fields) -> Dispatch::CrashReport
{
    Dispatch::CrashReport crashReport { decodeFingerprint(fields), {} };
    for (const auto& upstream : fields.at(2))
        crashReport.upstreams.insert(Core::UpstreamId(upstream.get<std::string>()));
    if (crashReport.upstreams.empty())
        throw std::out_of_range("no upstream is named");
    if (fields.size() > ageIndex)
        crashReport.age = decodeAge(fields.at(ageIndex));
    return crashReport;
}

} // namespace CrashReportPeer
