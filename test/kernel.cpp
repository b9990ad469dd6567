/// Start order, failure and lookup of services.

#include <crocusmill/kernel.h>

#include <catch2/catch.hpp>

namespace crocusmill
{

namespace
{

using EventLog = std::vector<std::string>;

class FakeService final : public Service
{
public:
    FakeService(EventLog &events, std::string name, std::vector<std::string_view> dependencies,
        bool fails = false)
        : events_(events)
        , name_(std::move(name))
        , dependencies_(std::move(dependencies))
        , fails_(fails)
    {
    }

    std::string_view name() const override
    {
        return name_;
    }

    std::vector<std::string_view> dependencies() const override
    {
        return dependencies_;
    }

    Result<void> start(Kernel & /*kernel*/) override
    {
        if (fails_) {
            return std::make_error_code(std::errc::address_in_use);
        }
        events_.push_back("+" + name_);
        return success();
    }

    void stop() override
    {
        events_.push_back("-" + name_);
    }

private:
    EventLog &events_;
    std::string name_;
    std::vector<std::string_view> dependencies_;
    bool fails_;
};

} // namespace

TEST_CASE("services start after their dependencies and stop before them")
{
    EventLog events;
    Kernel kernel;
    kernel.add(std::make_unique<FakeService>(events, "a", std::vector<std::string_view> {"b"}));
    kernel.add(std::make_unique<FakeService>(events, "b", std::vector<std::string_view> {"c"}));
    kernel.add(std::make_unique<FakeService>(events, "c", std::vector<std::string_view> {}));
    REQUIRE(kernel.start().has_value());
    kernel.stop();
    CHECK(events == EventLog {"+c", "+b", "+a", "-a", "-b", "-c"});
    CHECK(kernel.find<FakeService>("a") != nullptr);
    CHECK(kernel.find<FakeService>("z") == nullptr);
}

TEST_CASE("a failing service stops those already started")
{
    EventLog events;
    Kernel kernel;
    kernel.add(
        std::make_unique<FakeService>(events, "a", std::vector<std::string_view> {"b"}, true));
    kernel.add(std::make_unique<FakeService>(events, "b", std::vector<std::string_view> {}));
    CHECK(kernel.start().has_error());
    CHECK(events == EventLog {"+b", "-b"});
}

TEST_CASE("missing services and dependency cycles are typed errors")
{
    EventLog events;
    Kernel missing;
    missing.add(std::make_unique<FakeService>(events, "a", std::vector<std::string_view> {"b"}));
    CHECK(missing.start().error() == KernelError::UnknownService);
    Kernel cycle;
    cycle.add(std::make_unique<FakeService>(events, "a", std::vector<std::string_view> {"b"}));
    cycle.add(std::make_unique<FakeService>(events, "b", std::vector<std::string_view> {"a"}));
    CHECK(cycle.start().error() == KernelError::DependencyCycle);
}

} // namespace crocusmill
