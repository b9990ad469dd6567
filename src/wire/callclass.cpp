/// Assignment of calls to classes.

#include "src/wire/callclass.h"

namespace crocusmill
{

namespace
{

CallClass classOf(const GraphCall &call)
{
    switch (call.action) {
    case GraphAction::Submit:
        return CallClass::Submission;
    case GraphAction::Show:
        return CallClass::Query;
    case GraphAction::Cancel:
        return CallClass::Cancel;
    }
    return CallClass::Query;
}

CallClass classOf(const ProposeCall & /*call*/)
{
    return CallClass::Change;
}

CallClass classOf(const WorkCall & /*call*/)
{
    return CallClass::Change;
}

CallClass classOf(const JobCall & /*call*/)
{
    return CallClass::Change;
}

CallClass classOf(const OperatorCall & /*call*/)
{
    return CallClass::Change;
}

CallClass classOf(const CatalogCall & /*call*/)
{
    return CallClass::Change;
}

/// All other calls: presence, departure, forming a cell and tickets.
template <typename Other> CallClass classOf(const Other & /*call*/)
{
    return CallClass::Presence;
}

} // namespace

CallClass callClassOf(const Call &call)
{
    return std::visit([](const auto &body) { return classOf(body); }, call);
}

} // namespace crocusmill
