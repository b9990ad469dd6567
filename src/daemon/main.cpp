/// Entry point of crocusmilld, the daemon. It reads one settings file.

#include "src/daemon/daemon.h"
#include "src/net/log.h"

#include <boost/program_options.hpp>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

namespace
{

namespace options = boost::program_options;

constexpr int exitFailed = 1;
constexpr int exitUsage = 2;

struct Arguments
{
    std::string settings;
    bool help = false;
    bool check = false;
};

options::options_description describe(Arguments &arguments)
{
    options::options_description description {"crocusmilld --settings FILE"};
    description.add_options()("settings", options::value<std::string>(&arguments.settings),
        "settings file, see docs/SETTINGS.md")(
        "check", options::bool_switch(&arguments.check), "check the settings and exit")(
        "help", options::bool_switch(&arguments.help), "show this text");
    return description;
}

int reportFaults(const crocusmill::Faults &faults)
{
    for (const crocusmill::Fault &fault : faults) {
        std::cerr << (fault.pointer.empty() ? "/" : fault.pointer) << ": "
                  << crocusmill::text(fault.kind) << ", expected " << fault.expected << '\n';
    }
    return exitUsage;
}

crocusmill::Checked<crocusmill::Settings> readSettings(const std::string &path)
{
    std::ifstream in {path};
    if (!in) {
        return crocusmill::Faults {
            {"", crocusmill::FaultKind::Missing, "a file that can be read at " + path}};
    }
    std::ostringstream content;
    content << in.rdbuf();
    return crocusmill::parseSettings(content.str());
}

int runDaemon(const Arguments &arguments)
{
    const crocusmill::Checked<crocusmill::Settings> checked = readSettings(arguments.settings);
    if (const crocusmill::Faults *faults = std::get_if<crocusmill::Faults>(&checked)) {
        return reportFaults(*faults);
    }
    if (arguments.check) {
        return 0;
    }
    const crocusmill::Settings &settings = std::get<crocusmill::Settings>(checked);
    std::signal(SIGPIPE, SIG_IGN);
    crocusmill::startLog(settings.log, settings.vm);
    crocusmill::Daemon daemon {settings, [path = arguments.settings]() {
                                   return readSettings(path);
                               }};
    const crocusmill::Result<void> outcome = daemon.run();
    if (!outcome) {
        crocusmill::logError("daemon.failed", {{"error", outcome.error()}});
    }
    crocusmill::flushLog();
    // Skips destructors: coroutines suspended past the drain timeout cannot be unwound, because
    // their sockets and the contexts that own the coroutines refer to each other.
    std::quick_exit(outcome ? 0 : exitFailed);
}

} // namespace

int main(int argc, char **argv)
{
    Arguments arguments;
    const options::options_description description = describe(arguments);
    try {
        options::variables_map values;
        options::store(options::parse_command_line(argc, argv, description), values);
        options::notify(values);
    } catch (const options::error &error) {
        std::cerr << error.what() << '\n';
        return exitUsage;
    }
    if (arguments.help) {
        std::cout << description;
        return 0;
    }
    if (arguments.settings.empty()) {
        std::cerr << description;
        return exitUsage;
    }
    return runDaemon(arguments);
}
