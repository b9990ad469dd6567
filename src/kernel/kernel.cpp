/// Start order of services.

#include <crocusmill/kernel.h>

#include <algorithm>

namespace crocusmill
{

std::string_view ErrorText<KernelError>::text(KernelError error)
{
    return error == KernelError::UnknownService ? "a required service is not registered"
                                                : "circular dependency between services";
}

std::vector<std::string_view> PassiveService::dependencies() const
{
    return {};
}

Result<void> PassiveService::start(Kernel & /*kernel*/)
{
    return success();
}

void PassiveService::stop()
{
}

void Kernel::add(std::unique_ptr<Service> service)
{
    const std::string name {service->name()};
    services_[name] = std::move(service);
}

Result<void> Kernel::start()
{
    for (const std::pair<const std::string, std::unique_ptr<Service>> &item : services_) {
        std::vector<std::string_view> path;
        const Result<void> started = startWithDependencies(item.first, path);
        if (!started) {
            stop();
            return started;
        }
    }
    return success();
}

Result<void> Kernel::startWithDependencies(
    std::string_view name, std::vector<std::string_view> &path)
{
    const auto it = services_.find(name);
    if (it == services_.end()) {
        return KernelError::UnknownService;
    }
    Service *service = it->second.get();
    if (std::find(started_.begin(), started_.end(), service) != started_.end()) {
        return success();
    }
    if (std::find(path.begin(), path.end(), name) != path.end()) {
        return KernelError::DependencyCycle;
    }
    path.push_back(name);
    for (const std::string_view dependency : service->dependencies()) {
        BOOST_OUTCOME_TRY(startWithDependencies(dependency, path));
    }
    path.pop_back();
    BOOST_OUTCOME_TRY(service->start(*this));
    started_.push_back(service);
    return success();
}

void Kernel::stop()
{
    while (!started_.empty()) {
        started_.back()->stop();
        started_.pop_back();
    }
}

} // namespace crocusmill
