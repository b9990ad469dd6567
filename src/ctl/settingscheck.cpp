/// Check of a settings file without a server.

#include "src/ctl/commands.h"
#include "src/ctl/table.h"

#include <crocusmill/settings.h>

#include <boost/json.hpp>

#include <fstream>
#include <sstream>

namespace crocusmill::ctl
{

ExitCode checkSettings(
    const std::string &file, Output output, std::ostream &out, std::ostream &errors)
{
    std::ifstream in {file};
    if (!in) {
        errors << "cannot read " << file << '\n';
        return ExitCode::Usage;
    }
    std::ostringstream content;
    content << in.rdbuf();
    const Checked<Settings> checked = parseSettings(content.str());
    const Faults *faults = std::get_if<Faults>(&checked);
    boost::json::array list;
    if (faults != nullptr) {
        for (const Fault &fault : *faults) {
            list.push_back(boost::json::object {{"pointer", fault.pointer},
                {"fault", text(fault.kind)}, {"expected", fault.expected}});
        }
    }
    if (output == Output::Json) {
        out << boost::json::serialize(list) << '\n';
    } else {
        printAsText(boost::json::serialize(list), out);
    }
    return faults == nullptr ? ExitCode::Done : ExitCode::Usage;
}

} // namespace crocusmill::ctl
