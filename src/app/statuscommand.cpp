#include "app/statuscommand.h"

#include "app/problems.h"
#include "httpclient/httpclient.h"
#include "httpstatus/statuscodec.h"
#include "httpstatus/statushandler.h"
#include "runtime/asioruntime.h"
#include "settingsoptions/settingsoptions.h"

#include <iostream>

namespace App {

namespace {

    namespace http = boost::beast::http;
    using Settings::Occurrence;
    using Settings::SettingName;

    constexpr Core::Millis callTimeout { 5000 };
    constexpr int httpVersion = 11;

    auto catalogue() -> const Settings::Catalogue&
    {
        static const Settings::Catalogue catalogue({
            { SettingName("at"), "address for callers of an entry VM",
                std::make_shared<Settings::AddressRule>(Settings::AddressRule::PortZero::Refused), Occurrence::Required,
                {} },
            { SettingName("json"), "print JSON", nullptr, Occurrence::Switch, {} },
        });
        return catalogue;
    }

    auto fetchStatus(const Core::Address& address) -> Core::Result<std::string>
    {
        Runtime::AsioRuntime runtime(1);
        HttpClient::Client client(runtime.context());
        HttpClient::HttpRequest request { http::verb::get, std::string(HttpStatus::statusPath), httpVersion };
        request.set(http::field::host, address.value());
        Core::Result<std::string> result;
        client.send({ address, std::move(request), callTimeout },
            [&](tl::expected<HttpClient::Exchange, HttpClient::Failure> exchange) {
                if (exchange && exchange->response.result() == http::status::ok)
                    result = exchange->response.body();
                else
                    result = Core::fail(Core::ErrorKind::Unreachable,
                        "no status from " + address.value() + (exchange ? "" : ": " + exchange.error().detail),
                        "check the address, or ask another entry VM");
                runtime.stop();
            });
        runtime.run();
        return result;
    }

    auto seconds(Core::Duration duration) -> std::int64_t
    {
        return std::chrono::duration_cast<std::chrono::seconds>(duration).count();
    }

    auto printText(const Replication::ConfigurationStatus& status) -> void
    {
        std::cout << "entry VM " << status.vm << " in " << status.failureDomain << ": version " << status.version
                  << " in force for " << seconds(status.inForceFor) << " s, list of VMs version " << status.fleetVersion
                  << '\n';
        if (status.refusedVersion.value() != 0)
            std::cout << "version " << status.refusedVersion << " is refused: " << status.refusalReason << '\n';
        for (const auto& domain : status.domains) {
            std::cout << "  " << domain.failureDomain << ": version " << domain.highest;
            if (domain.isConfirmed)
                std::cout << " in force, confirmed";
            else
                std::cout << " not confirmed: " << domain.reason;
            if (domain.confirmedAge)
                std::cout << " (last confirmed by the store " << seconds(*domain.confirmedAge) << " s ago)";
            std::cout << '\n';
        }
    }

} // namespace

auto StatusCommand::name() const -> std::string { return "status"; }

auto StatusCommand::summary() const -> std::string { return "print the configuration in force in each failure domain"; }

auto StatusCommand::help() const -> std::string
{
    return "usage: dragonflywinch status --at IP:PORT [--json]\n\n" + SettingsOptions::describe(catalogue())
        + "\nA failure domain is confirmed when all its members have the newest known version and the store has\n"
          "confirmed within the last 10 s that there is none newer. Otherwise the reason is printed.\n"
          "\nExamples:\n"
          "  dragonflywinch status --at 10.0.0.7:8080\n"
          "  dragonflywinch status --at 10.0.0.7:8080 --json\n"
          "\nExit codes: 0 printed, 1 the entry VM did not answer, 2 bad usage\n";
}

auto StatusCommand::run(const std::vector<std::string>& arguments) -> ExitCode
{
    const auto settings = Settings::resolve(catalogue(), SettingsOptions::parseFlags(catalogue(), arguments));
    if (!settings.problems().empty()) {
        printProblems(std::cerr, settings.problems());
        return ExitCode::InvalidUsage;
    }
    const auto text = fetchStatus(Core::Address(settings.text("at")));
    const auto status = text.and_then(HttpStatus::decodeStatus);
    if (!status) {
        std::cerr << "error: " << describe(status.error()) << '\n';
        return ExitCode::Failure;
    }
    if (settings.isSet("json"))
        std::cout << *text << '\n';
    else
        printText(*status);
    return ExitCode::Success;
}

} // namespace App
