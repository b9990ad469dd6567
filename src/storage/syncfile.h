/// Synced writes and atomic replacement of files in the data folder.

#pragma once

#include <crocusmill/storage.h>

#include <cerrno>
#include <fcntl.h>
#include <filesystem>
#include <string>
#include <string_view>
#include <sys/file.h>
#include <unistd.h>
#include <utility>

namespace crocusmill
{

/// Owns a file descriptor and closes it.
class File
{
public:
    File() = default;
    File(const std::filesystem::path &path, int flags)
        : descriptor_(::open(path.c_str(), flags | O_CLOEXEC, mode))
    {
    }
    ~File()
    {
        close();
    }
    File(File &&other) noexcept
        : descriptor_(std::exchange(other.descriptor_, -1))
    {
    }
    File &operator=(File &&other) noexcept
    {
        if (this != &other) {
            close();
            descriptor_ = std::exchange(other.descriptor_, -1);
        }
        return *this;
    }
    File(const File &) = delete;
    File &operator=(const File &) = delete;

    [[nodiscard]] bool isOpen() const
    {
        return descriptor_ >= 0;
    }

    [[nodiscard]] bool lock() const
    {
        return ::flock(descriptor_, LOCK_EX | LOCK_NB) == 0;
    }

    [[nodiscard]] Result<void> write(std::string_view bytes) const
    {
        while (!bytes.empty()) {
            const ssize_t written = ::write(descriptor_, bytes.data(), bytes.size());
            if (written < 0) {
                if (errno == EINTR) {
                    continue;
                }
                return StorageError::CannotWrite;
            }
            bytes.remove_prefix(static_cast<std::size_t>(written));
        }
        return success();
    }

    [[nodiscard]] Result<void> sync() const
    {
        if (::fdatasync(descriptor_) != 0) {
            return StorageError::CannotSync;
        }
        return success();
    }

    [[nodiscard]] bool truncate(std::size_t size) const
    {
        return ::ftruncate(descriptor_, static_cast<off_t>(size)) == 0;
    }

private:
    static constexpr mode_t mode = 0600;

    void close()
    {
        if (descriptor_ >= 0) {
            ::close(descriptor_);
        }
    }

    int descriptor_ = -1;
};

/// Writes and syncs a file. A crash during the call can leave a torn file. Errors: CannotWrite,
/// CannotSync.
[[nodiscard]] Result<void> writeFile(const std::filesystem::path &path, std::string_view content);
/// Renames a file, replacing the target, and syncs the folder. Errors: CannotWrite, CannotSync.
[[nodiscard]] Result<void> moveFile(
    const std::filesystem::path &from, const std::filesystem::path &to);

/// Replaces a file atomically: writes and syncs a temporary file, renames it, syncs the folder.
/// Errors: CannotWrite, CannotSync.
[[nodiscard]] Result<void> replaceFile(const std::filesystem::path &path, std::string_view content);

/// Errors: CannotRead.
[[nodiscard]] Result<std::string> readFile(const std::filesystem::path &path);

} // namespace crocusmill
