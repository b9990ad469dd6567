/// JSON answers as text for people.

#pragma once

#include <ostream>
#include <string>

namespace crocusmill::ctl
{

/// Lists of objects become tables, objects become lines of name and value.
void printAsText(const std::string &json, std::ostream &out);

} // namespace crocusmill::ctl
