#include "eventlog/eventlog.h"

#include <easylogging++.h>
#include <nlohmann/json.hpp>

INITIALIZE_EASYLOGGINGPP

namespace EventLog {

EventLog::EventLog(std::string process, const Ports::Clock& clock)
    : m_process(std::move(process))
    , m_clock(clock)
{
    el::Configurations configuration;
    configuration.setToDefault();
    configuration.setGlobally(el::ConfigurationType::Format, "%msg");
    configuration.setGlobally(el::ConfigurationType::ToFile, "false");
    configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    el::Loggers::reconfigureLogger("default", configuration);
}

auto EventLog::record(Ports::Event event) -> void
{
    nlohmann::json line { { "timeUs", m_clock.wallTime().time_since_epoch().count() }, { "level", "info" },
        { "process", m_process }, { "event", event.kind.value() } };
    if (!event.request.value().empty())
        line["request"] = event.request.value();
    for (auto& field : event.fields)
        line[field.name] = std::move(field.value);
    LOG(INFO) << line.dump();
}

} // namespace EventLog
