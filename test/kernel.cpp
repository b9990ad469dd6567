/// Start order, failure and look-up of services.

#include <crocusmill/kernel.h>

#include <catch2/catch.hpp>

namespace crocusmill
{

namespace
{

using Journal = std::vector<std::string>;

class FakeService final : public Service
{
public:
    FakeService(
        Journal &journal, std::string name, std::vector<std::string_view> needs, bool fails = false)
        : journal_(journal)
        , name_(std::move(name))
        , needs_(std::move(needs))
        , fails_(fails)
    {
    }

    std::string_view name() const override
    {
        return name_;
    }

    std::vector<std::string_view> needs() const override
    {
        return needs_;
    }

    Result<void> start(Kernel & /*kernel*/) override
    {
        if (fails_) {
            return std::make_error_code(std::errc::address_in_use);
        }
        journal_.push_back("+" + name_);
        return success();
    }

    void stop() override
    {
        journal_.push_back("-" + name_);
    }

private:
    Journal &journal_;
    std::string name_;
    std::vector<std::string_view> needs_;
    bool fails_;
};

} // namespace

TEST_CASE("services start after what they need and stop before it")
{
    Journal journal;
    Kernel kernel;
    kernel.add(std::make_unique<FakeService>(journal, "a", std::vector<std::string_view> {"b"}));
    kernel.add(std::make_unique<FakeService>(journal, "b", std::vector<std::string_view> {"c"}));
    kernel.add(std::make_unique<FakeService>(journal, "c", std::vector<std::string_view> {}));
    REQUIRE(kernel.start().has_value());
    kernel.stop();
    CHECK(journal == Journal {"+c", "+b", "+a", "-a", "-b", "-c"});
    CHECK(kernel.find<FakeService>("a") != nullptr);
    CHECK(kernel.find<FakeService>("z") == nullptr);
}

TEST_CASE("a failing service stops those that had started")
{
    Journal journal;
    Kernel kernel;
    kernel.add(
        std::make_unique<FakeService>(journal, "a", std::vector<std::string_view> {"b"}, true));
    kernel.add(std::make_unique<FakeService>(journal, "b", std::vector<std::string_view> {}));
    CHECK(kernel.start().has_error());
    CHECK(journal == Journal {"+b", "-b"});
}

TEST_CASE("missing services and circles are typed errors")
{
    Journal journal;
    Kernel missing;
    missing.add(std::make_unique<FakeService>(journal, "a", std::vector<std::string_view> {"b"}));
    CHECK(missing.start().error() == KernelError::UnknownService);
    Kernel circle;
    circle.add(std::make_unique<FakeService>(journal, "a", std::vector<std::string_view> {"b"}));
    circle.add(std::make_unique<FakeService>(journal, "b", std::vector<std::string_view> {"a"}));
    CHECK(circle.start().error() == KernelError::DependencyCycle);
}

} // namespace crocusmill
