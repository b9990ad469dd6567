/// Kinds of steps.

#include <crocusmill/measuredrun.h>

namespace crocusmill
{

StepKind kindOf(const StepSpec &spec, const QueueName &queue, std::uint32_t step)
{
    // The prefixes keep an image apart from a queue of the same name.
    return StepKind {spec.image.value().empty()
            ? "step:" + queue.value() + "/" + std::to_string(step)
            : "image:" + spec.image.value()};
}

} // namespace crocusmill
