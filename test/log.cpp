/// Tests of logging: format, order, dropped records and flushing.

#include "src/net/log.h"

#include "src/net/logqueue.h"

#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include <array>
#include <sstream>
#include <thread>
#include <unistd.h>

namespace crocusmill
{

namespace
{

/// Pipe that the test reads explicitly.
class Pipe
{
public:
    Pipe()
    {
        REQUIRE(::pipe(descriptors_.data()) == 0);
    }

    ~Pipe()
    {
        ::close(descriptors_[0]);
        closeWriteEnd();
    }

    Pipe(const Pipe &) = delete;
    Pipe &operator=(const Pipe &) = delete;

    int writeEnd() const
    {
        return descriptors_[1];
    }

    void closeWriteEnd()
    {
        if (descriptors_[1] >= 0) {
            ::close(std::exchange(descriptors_[1], -1));
        }
    }

    /// Returns the result of a single read().
    std::string readSome() const
    {
        std::string text(1'000'000, '\0');
        const ssize_t size = ::read(descriptors_[0], text.data(), text.size());
        text.resize(size > 0 ? static_cast<std::size_t>(size) : 0);
        return text;
    }

    std::string readAll() const
    {
        std::string all;
        for (std::string some = readSome(); !some.empty(); some = readSome()) {
            all += some;
        }
        return all;
    }

private:
    std::array<int, 2> descriptors_ {-1, -1};
};

std::string numbered(int number)
{
    return std::to_string(number) + '\n';
}

/// Redirects a file descriptor of this process during its lifetime.
class DescriptorRedirect
{
public:
    DescriptorRedirect(int descriptor, int to)
        : descriptor_(descriptor)
        , savedDescriptor_(::dup(descriptor))
    {
        ::dup2(to, descriptor);
    }

    ~DescriptorRedirect()
    {
        ::dup2(savedDescriptor_, descriptor_);
        ::close(savedDescriptor_);
    }

    DescriptorRedirect(const DescriptorRedirect &) = delete;
    DescriptorRedirect &operator=(const DescriptorRedirect &) = delete;

private:
    int descriptor_;
    int savedDescriptor_;
};

} // namespace

TEST_CASE("lines added within the batch delay are written in one batch, in order")
{
    Pipe pipe;
    LogQueue queue {pipe.writeEnd(), LogQueueLimits {100, Milliseconds {300}, ByteCount {10'000}}};
    std::string all;
    for (int i = 0; i < 50; ++i) {
        CHECK(queue.add(numbered(i), false));
        all += numbered(i);
    }
    CHECK(pipe.readSome() == all);
}

TEST_CASE("urgent lines, full batches and stop() end the batch delay")
{
    Pipe pipe;
    LogQueue queue {
        pipe.writeEnd(), LogQueueLimits {100, Milliseconds {60'000}, ByteCount {1'000}}};
    const std::string large(1'000, 'x');
    CHECK(queue.add("small\n", false));
    CHECK(queue.add("urgent\n", true));
    CHECK(pipe.readSome() == "small\nurgent\n");
    CHECK(queue.add(large, false)); // fills a batch
    CHECK(pipe.readSome() == large);
    CHECK(queue.add("last\n", false));
    queue.stop();
    CHECK(pipe.readSome() == "last\n");
    CHECK_FALSE(queue.add("after\n", false));
}

TEST_CASE("a blocked descriptor does not block add(), and accepted lines are written by stop()")
{
    Pipe pipe;
    constexpr std::size_t maxLines = 100;
    const std::string line = std::string(1'000, 'x') + '\n';
    std::size_t acceptedCount = 0;
    std::string all;
    {
        LogQueue queue {
            pipe.writeEnd(), LogQueueLimits {maxLines, Milliseconds {0}, ByteCount {1}}};
        constexpr std::size_t attemptCount = 10'000;
        for (std::size_t i = 0; i < attemptCount; ++i) {
            acceptedCount += queue.add(line, false) ? 1 : 0; // the pipe is not read and fills up
        }
        CHECK(acceptedCount >= maxLines);
        CHECK(acceptedCount < attemptCount);
        std::thread reader {[&]() {
            while (all.size() < acceptedCount * line.size()) {
                all += pipe.readSome();
            }
        }};
        queue.stop();
        reader.join();
    }
    CHECK(all.size() == acceptedCount * line.size());
}

TEST_CASE("records are JSON lines with typed attributes, and flushLog() writes all of them")
{
    Pipe pipe;
    constexpr int records = 100; // fits into the pipe's buffer
    {
        const DescriptorRedirect output {STDOUT_FILENO, pipe.writeEnd()};
        LogSettings settings;
        settings.format = LogFormat::Json;
        settings.output = LogOutput::StandardOutput;
        startLog(settings, VmId {"core-1"});
        logRecord(LogLevel::Debug, "not.shown", {});
        for (int i = 0; i < records; ++i) {
            logInfo("run.over",
                {{"text", "a\"b\n"}, {"number", static_cast<std::uint64_t>(i)}, {"flag", true},
                    {"error", std::make_error_code(std::errc::timed_out)},
                    {"made", std::string {"by "} + std::to_string(i)}});
        }
        flushLog();
    }
    pipe.closeWriteEnd();
    std::istringstream lines {pipe.readAll()};
    std::string line;
    int count = 0;
    while (std::getline(lines, line)) {
        const boost::json::object record = boost::json::parse(line).as_object();
        CHECK(record.at("time").as_string().size()
            == std::string {"2026-12-04T14:46:09.019Z"}.size());
        CHECK(record.at("level").as_string() == "info");
        CHECK(record.at("vm").as_string() == "core-1");
        CHECK(record.at("event").as_string() == "run.over");
        CHECK(record.at("text").as_string() == "a\"b\n");
        CHECK(record.at("number").to_number<int>() == count);
        CHECK(record.at("flag").as_bool());
        CHECK(record.at("error").as_string() == "generic: Connection timed out");
        CHECK(record.at("made").as_string() == "by " + std::to_string(count));
        ++count;
    }
    CHECK(count == records);
}

TEST_CASE("the number of dropped records is logged")
{
    Pipe pipe;
    std::string text;
    {
        const DescriptorRedirect output {STDOUT_FILENO, pipe.writeEnd()};
        LogSettings settings;
        settings.output = LogOutput::StandardOutput;
        startLog(settings, VmId {"core-1"});
        constexpr int records = 20'000;
        for (int i = 0; i < records; ++i) {
            logInfo("filler", {{"text", std::string_view {"xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx"}}});
        }
        std::thread reader {[&]() {
            text = pipe.readAll();
        }};
        std::this_thread::sleep_for(Milliseconds {200});
        logInfo("room.again", {});
        flushLog();
        ::dup2(STDERR_FILENO, STDOUT_FILENO); // closes the duplicate of the pipe
        pipe.closeWriteEnd();
        reader.join();
    }
    std::istringstream lines {text};
    std::string line;
    std::uint64_t written = 0;
    std::uint64_t dropped = 0;
    while (std::getline(lines, line)) {
        written += line.find(" filler ") != std::string::npos ? 1 : 0;
        const std::size_t position = line.find("log.dropped records=");
        if (position != std::string::npos) {
            dropped += std::stoull(line.substr(line.rfind('=') + 1));
        }
    }
    CHECK(dropped > 0);
    CHECK(written + dropped == 20'000);
}

} // namespace crocusmill
