/// Human-readable output of JSON answers.

#pragma once

#include <ostream>
#include <string>

namespace crocusmill::ctl
{

/// Prints an array of objects as a table and an object as lines of name and value.
void printAsText(const std::string &json, std::ostream &out);

} // namespace crocusmill::ctl
