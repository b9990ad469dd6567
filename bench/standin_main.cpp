/// Runs simulated upstreams until SIGTERM or SIGINT: `standin --entry IP:PORT ... [--count N]`.

#include "bench/standin.h"

#include <boost/program_options.hpp>

#include <csignal>
#include <iostream>

namespace
{

namespace options = boost::program_options;

crocusmill::NodeAddress parseAddress(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    return {text.substr(0, colon),
        static_cast<std::uint16_t>(std::strtoul(text.c_str() + colon + 1, nullptr, 10))};
}

} // namespace

int main(int argc, char **argv)
{
    crocusmill::standin::Options standInOptions;
    std::vector<std::string> entries;
    std::string environment = standInOptions.environment.value();
    std::string service = standInOptions.service.value();
    std::uint32_t slots = standInOptions.slots.value();
    options::options_description description {"standin"};
    description.add_options()(
        "entry", options::value<std::vector<std::string>>(&entries)->required(), "IP:PORT")(
        "count", options::value<std::uint32_t>(&standInOptions.count), "number of upstreams")(
        "slots", options::value<std::uint32_t>(&slots), "slots of each upstream")(
        "environment", options::value<std::string>(&environment), "name of the environment")(
        "service", options::value<std::string>(&service), "name of the service")("first-port",
        options::value<std::uint16_t>(&standInOptions.firstPort), "port of the first upstream");
    try {
        options::variables_map values;
        options::store(options::parse_command_line(argc, argv, description), values);
        options::notify(values);
    } catch (const options::error &error) {
        std::cerr << error.what() << '\n' << description;
        return 2;
    }
    for (const std::string &entry : entries) {
        standInOptions.entries.push_back(parseAddress(entry));
    }
    standInOptions.environment = crocusmill::EnvironmentName {environment};
    standInOptions.service = crocusmill::ServiceName {service};
    standInOptions.slots = crocusmill::SlotCount {slots};
    crocusmill::standin::StandIn standIn {standInOptions};
    if (!standIn.start()) {
        std::cerr << "cannot listen on the ports of the upstreams\n";
        return 1;
    }
    std::cout << "serving" << std::endl;
    crocusmill::asio::io_context context;
    crocusmill::asio::signal_set signals {context, SIGTERM, SIGINT};
    signals.async_wait([](const boost::system::error_code &, int) {});
    context.run();
    std::cout << crocusmill::standin::describe(standIn.observations()) << std::endl;
    standIn.stop();
    return 0;
}
