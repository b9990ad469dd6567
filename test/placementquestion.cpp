/// Tests of the parser of questions about placements.

#include <crocusmill/placementreport.h>

#include <catch2/catch.hpp>

namespace crocusmill
{

namespace
{

/// Returns the faults of a text that must not be a question.
Faults faultsOf(const std::string &text)
{
    const Checked<PlacementQuestion> checked = parsePlacementQuestion(text);
    return std::holds_alternative<Faults>(checked) ? std::get<Faults>(checked) : Faults {};
}

} // namespace

// Guards against odd requests that are taken for valid ones.
TEST_CASE("an odd question is refused with its faults")
{
    const std::string valid =
        R"({"host":"h","path":"/p","customer":"c","job":{"steps":[{"tasks":2},{"after":[0]}]}})";
    const Checked<PlacementQuestion> checked = parsePlacementQuestion(valid);
    REQUIRE(std::holds_alternative<PlacementQuestion>(checked));
    CHECK(
        std::get<PlacementQuestion>(checked).spec.steps[1].after == std::vector<std::uint32_t> {0});
    const auto withSteps = [](const std::string &steps) {
        return R"({"host":"h","path":"/p","job":{"steps":)" + steps + "}}";
    };
    const std::vector<std::pair<std::string, FaultKind>> odd {
        {"{", FaultKind::Malformed},
        {"[]", FaultKind::WrongType},
        {R"({"id":""})", FaultKind::OutOfRange},
        {R"({"id":"a","host":"h"})", FaultKind::Unknown},
        {R"({"host":"h","path":"/p"})", FaultKind::Missing},
        {R"({"host":"h","path":"/p","job":{}})", FaultKind::Missing},
        {R"({"host":"h","path":"/p","job":7})", FaultKind::WrongType},
        {withSteps("[]"), FaultKind::OutOfRange},
        {withSteps("[7]"), FaultKind::WrongType},
        {withSteps(R"([{"tasks":0}])"), FaultKind::OutOfRange},
        {withSteps(R"([{"tasks":1.5}])"), FaultKind::WrongType},
        {withSteps(R"([{"milli_cores":-1}])"), FaultKind::WrongType},
        {withSteps(R"([{"gang":1}])"), FaultKind::WrongType},
        {withSteps(R"([{"colour":1}])"), FaultKind::Unknown},
        {withSteps(R"([{"after":[0]}])"), FaultKind::OutOfRange},
        {withSteps(R"([{},{"after":[0,0]}])"), FaultKind::Duplicate},
        {withSteps(R"([{},{"after":["0"]}])"), FaultKind::WrongType},
        {withSteps(R"([{"tasks":10001}])"), FaultKind::OutOfRange},
    };
    for (const std::pair<std::string, FaultKind> &question : odd) {
        INFO(question.first);
        const Faults faults = faultsOf(question.first);
        REQUIRE_FALSE(faults.empty());
        CHECK(faults[0].kind == question.second);
    }
    std::string manySteps = "[{}";
    for (int i = 0; i < 256; ++i) {
        manySteps += ",{}";
    }
    CHECK(faultsOf(withSteps(manySteps + "]")).size() == 1);
    std::string manyTasks = R"([{"tasks":10000})";
    for (int i = 0; i < 5; ++i) {
        manyTasks += R"(,{"tasks":10000})";
    }
    CHECK(faultsOf(withSteps(manyTasks + "]")).size() == 1);
}

} // namespace crocusmill
