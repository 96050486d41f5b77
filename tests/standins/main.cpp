#include "httpserver/httpserver.h"
#include "runtime/asioruntime.h"
#include "standins/platformstore.h"
#include "standins/upstreamendpoint.h"

#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>
#include <csignal>
#include <iostream>

namespace {

namespace po = boost::program_options;

auto description() -> po::options_description
{
    po::options_description options("dragonflywinch-standins platform|upstream");
    auto add = options.add_options();
    add("role", po::value<std::string>()->required(), "platform or upstream");
    add("listen", po::value<std::string>()->default_value("127.0.0.1:0"), "IP:PORT");
    add("slots", po::value<std::int64_t>()->default_value(3), "number of requests that run concurrently");
    add("service-ms", po::value<std::int64_t>()->default_value(20), "service time of a request in milliseconds");
    return options;
}

auto makeHandler(const po::variables_map& values, Ports::Scheduler& scheduler)
    -> std::unique_ptr<HttpServer::HttpHandler>
{
    if (values["role"].as<std::string>() == "platform")
        return std::make_unique<StandIns::PlatformStore>(scheduler);
    StandIns::UpstreamBehaviour behaviour;
    behaviour.slots = values["slots"].as<std::int64_t>();
    behaviour.serviceMs = values["service-ms"].as<std::int64_t>();
    return std::make_unique<StandIns::UpstreamEndpoint>(scheduler, behaviour);
}

auto run(const po::variables_map& values) -> void
{
    constexpr std::size_t threadCount = 2;
    Runtime::AsioRuntime runtime(threadCount);
    const auto handler = makeHandler(values, runtime);
    HttpServer::Server server(runtime.context(), Core::Address(values["listen"].as<std::string>()), *handler,
        { Core::Bytes(16 * 1024), Core::Bytes(4 * 1024 * 1024), Core::Millis(120'000) });
    boost::asio::signal_set signals(runtime.context(), SIGTERM, SIGINT);
    signals.async_wait([&runtime](boost::system::error_code, int) { runtime.stop(); });
    std::cout << "listening " << server.port() << std::endl;
    runtime.run();
}

} // namespace

auto main(int argc, char** argv) -> int
{
    try {
        po::positional_options_description positional;
        positional.add("role", 1);
        po::variables_map values;
        po::store(po::command_line_parser(argc, argv).options(description()).positional(positional).run(), values);
        po::notify(values);
        run(values);
        return 0;
    } catch (const std::exception& error) {
        std::cerr << error.what() << '\n';
        return 2;
    }
}
