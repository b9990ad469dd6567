/// Service registry that starts and stops services in dependency order and finds them by name.

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

/// A component of the daemon with a name and dependencies.
class Service
{
public:
    virtual ~Service() = default;

    [[nodiscard]] virtual std::string_view name() const = 0;
    /// Names of the services that must start before this one and stop after it.
    [[nodiscard]] virtual std::vector<std::string_view> dependencies() const = 0;
    /// Looks up dependencies and starts work.
    [[nodiscard]] virtual Result<void> start(Kernel &kernel) = 0;
    virtual void stop() = 0;
};

/// A service without dependencies that works only when called.
class PassiveService : public Service
{
public:
    [[nodiscard]] std::vector<std::string_view> dependencies() const override;
    [[nodiscard]] Result<void> start(Kernel &kernel) override;
    void stop() override;
};

/// Owns all services and controls their life cycle.
class Kernel
{
public:
    void add(std::unique_ptr<Service> service);

    /// Starts each service after its dependencies. If one fails, stops those already started.
    /// Errors: UnknownService, DependencyCycle, or the error of the failed service.
    [[nodiscard]] Result<void> start();
    /// Stops the started services in reverse order.
    void stop();

    /// Returns the service with this name as interface `T`; null if it is missing or not a `T`.
    template <typename T> [[nodiscard]] T *find(std::string_view name) const
    {
        const auto it = services_.find(name);
        return it == services_.end() ? nullptr : dynamic_cast<T *>(it->second.get());
    }

private:
    [[nodiscard]] Result<void> startWithDependencies(
        std::string_view name, std::vector<std::string_view> &path);

    std::map<std::string, std::unique_ptr<Service>, std::less<>> services_;
    // In start order: each service comes after its dependencies.
    std::vector<Service *> started_;
};

} // namespace crocusmill
