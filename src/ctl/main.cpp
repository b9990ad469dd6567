/// Entry point of crocusmillctl, the operator's tool.

#include "src/ctl/commands.h"

#include <boost/program_options.hpp>

#include <cstdlib>
#include <fstream>
#include <iostream>

namespace
{

namespace options = boost::program_options;
using crocusmill::ctl::ExitCode;

struct Arguments
{
    std::string server;
    std::string tokenFile;
    std::string output;
    bool help = false;
    crocusmill::ctl::Invocation invocation;
};

options::options_description describe(Arguments &arguments)
{
    options::options_description description {"Options"};
    description.add_options()("server",
        options::value<std::string>(&arguments.server)->default_value("127.0.0.1:7301"),
        "operators' port of any VM, IP:PORT")("token-file",
        options::value<std::string>(&arguments.tokenFile), "file with the bearer token")("output",
        options::value<std::string>(&arguments.output)->default_value("text"),
        "text or json")("version", options::value<std::uint64_t>(&arguments.invocation.version),
        "version to promote")("digest", options::value<std::string>(&arguments.invocation.digest),
        "digest to promote")("wait", options::bool_switch(&arguments.invocation.wait),
        "wait until every VM has applied it")("host",
        options::value<std::string>(&arguments.invocation.host), "host of the request")("path",
        options::value<std::string>(&arguments.invocation.path), "path of the request")("customer",
        options::value<std::string>(&arguments.invocation.customer),
        "customer whose key the request would carry")("file",
        options::value<std::string>(&arguments.invocation.file), "file with the job as JSON")(
        "help", options::bool_switch(&arguments.help), "show this text");
    return description;
}

bool parse(
    int argc, char **argv, Arguments &arguments, const options::options_description &description)
{
    options::options_description all;
    all.add(description)
        .add_options()(
            "words", options::value<std::vector<std::string>>(&arguments.invocation.words));
    options::positional_options_description positional;
    positional.add("words", -1);
    try {
        options::variables_map values;
        options::store(
            options::command_line_parser(argc, argv).options(all).positional(positional).run(),
            values);
        options::notify(values);
    } catch (const options::error &error) {
        std::cerr << error.what() << '\n';
        return false;
    }
    return arguments.output == "text" || arguments.output == "json";
}

ExitCode run(Arguments &arguments)
{
    crocusmill::ctl::Invocation &invocation = arguments.invocation;
    invocation.output =
        arguments.output == "json" ? crocusmill::ctl::Output::Json : crocusmill::ctl::Output::Text;
    const std::vector<std::string> &words = invocation.words;
    if (words.size() == 3 && words[0] == "settings" && words[1] == "check") {
        return crocusmill::ctl::checkSettings(words[2], invocation.output, std::cout, std::cerr);
    }
    const crocusmill::Result<crocusmill::NodeAddress> server =
        crocusmill::ctl::parseServer(arguments.server);
    if (!server) {
        std::cerr << server.error().message() << '\n';
        return ExitCode::Usage;
    }
    std::string token;
    std::ifstream in {arguments.tokenFile};
    if (!std::getline(in, token)) {
        std::cerr << "cannot read the token file\n";
        return ExitCode::Usage;
    }
    const char *user = std::getenv("USER");
    const crocusmill::ctl::Client client {
        server.value(), token, user == nullptr ? "operator" : user};
    return crocusmill::ctl::runCommand(client, invocation, std::cout, std::cerr);
}

} // namespace

int main(int argc, char **argv)
{
    Arguments arguments;
    const options::options_description description = describe(arguments);
    if (!parse(argc, argv, arguments, description)) {
        std::cerr << crocusmill::ctl::commandHelp() << description;
        return static_cast<int>(ExitCode::Usage);
    }
    if (arguments.help) {
        std::cout << crocusmill::ctl::commandHelp() << '\n' << description;
        return 0;
    }
    return static_cast<int>(run(arguments));
}
