/// The micro-kernel: services that are started and stopped in the order of their needs and find
/// each other by name.

#pragma once

#include <crocusmill/error.h>

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace crocusmill
{

enum class KernelError {
    UnknownService = 1,
    DependencyCycle,
};

template <> struct ErrorText<KernelError>
{
    static constexpr const char *category = "kernel";
    static std::string_view text(KernelError error);
};

class Kernel;

class Service
{
public:
    virtual ~Service() = default;

    [[nodiscard]] virtual std::string_view name() const = 0;
    /// Names of the services that run before this one starts and after it stops.
    [[nodiscard]] virtual std::vector<std::string_view> dependencies() const = 0;
    /// Looks up what it needs and begins to work.
    [[nodiscard]] virtual Result<void> start(Kernel &kernel) = 0;
    virtual void stop() = 0;
};

/// A service that needs no others and works only when it is called.
class PassiveService : public Service
{
public:
    [[nodiscard]] std::vector<std::string_view> dependencies() const override;
    [[nodiscard]] Result<void> start(Kernel &kernel) override;
    void stop() override;
};

class Kernel
{
public:
    void add(std::unique_ptr<Service> service);

    /// Starts every service after those that it needs. When one fails, the started ones are
    /// stopped. Errors: UnknownService, DependencyCycle, the failing service's own.
    [[nodiscard]] Result<void> start();
    /// Stops in the reverse order.
    void stop();

    /// The service of this name as the interface `T`; null when there is none or it is another.
    template <typename T> [[nodiscard]] T *find(std::string_view name) const
    {
        const auto it = services_.find(name);
        return it == services_.end() ? nullptr : dynamic_cast<T *>(it->second.get());
    }

private:
    [[nodiscard]] Result<void> startWithDependencies(
        std::string_view name, std::vector<std::string_view> &path);

    std::map<std::string, std::unique_ptr<Service>, std::less<>> services_;
    // Invariant: each service stands after all that it needs.
    std::vector<Service *> started_;
};

} // namespace crocusmill
