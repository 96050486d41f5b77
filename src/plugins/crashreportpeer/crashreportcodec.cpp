#include "crashreportpeer/crashreportcodec.h"

#include <stdexcept>

namespace CrashReportPeer {

namespace {

    using nlohmann::json;

    /// Positions of the ages of the last crash and of the first one in milliseconds. Processes of an earlier version
    /// report crashes that have just happened, without ages.
    constexpr std::size_t ageIndex = 3;
    constexpr std::size_t firstAgeIndex = 4;

    /// Rounds up, so that no quarantine is prolonged.
    auto encodeAge(Core::Duration age) -> json { return std::chrono::ceil<Core::Millis>(age).count(); }

    auto decodeAge(const json& value, Core::Millis longest) -> Core::Duration
    {
        const auto age = value.get<Core::Millis::rep>();
        if (age < 0 || age > longest.count())
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
    fields.push_back(encodeAge(crashReport.age));
    fields.push_back(encodeAge(crashReport.firstAge));
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
        crashReport.age = decodeAge(fields.at(ageIndex), Dispatch::RequestQuarantine::quarantineTime);
    if (fields.size() > firstAgeIndex)
        crashReport.firstAge = decodeAge(fields.at(firstAgeIndex), Core::Millis::max());
    return crashReport;
}

} // namespace CrashReportPeer
