/// Synced writes of files.

#include "src/storage/syncfile.h"

#include <fstream>
#include <sstream>

namespace crocusmill
{

namespace fs = std::filesystem;

namespace
{

Result<void> syncFolder(const fs::path &folder)
{
    const File file {folder, O_RDONLY | O_DIRECTORY};
    if (!file.isOpen() || !file.sync()) {
        return StorageError::CannotSync;
    }
    return success();
}

} // namespace

Result<void> writeFile(const fs::path &path, std::string_view content)
{
    const File file {path, O_WRONLY | O_CREAT | O_TRUNC};
    if (!file.isOpen()) {
        return StorageError::CannotWrite;
    }
    BOOST_OUTCOME_TRY(file.write(content));
    return file.sync();
}

Result<void> moveFile(const fs::path &from, const fs::path &to)
{
    std::error_code error;
    fs::rename(from, to, error);
    if (error) {
        return StorageError::CannotWrite;
    }
    return syncFolder(to.parent_path());
}

Result<void> replaceFile(const fs::path &path, std::string_view content)
{
    const fs::path temporaryPath = path.string() + ".new";
    BOOST_OUTCOME_TRY(writeFile(temporaryPath, content));
    return moveFile(temporaryPath, path);
}

Result<std::string> readFile(const fs::path &path)
{
    std::ifstream in {path, std::ios::binary};
    if (!in) {
        return StorageError::CannotRead;
    }
    std::ostringstream content;
    content << in.rdbuf();
    return std::move(content).str();
}

} // namespace crocusmill
