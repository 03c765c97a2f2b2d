#include "daemon/daemon_process.h"

#include "daemon/caller.h"
#include "yaml/text_file.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace medlarway
{

namespace
{

constexpr std::uint64_t kMaxLogBytes = 64ULL << 20U;
constexpr std::chrono::milliseconds kPollInterval{5};

std::string makeTempFolder()
{
    auto name = (std::filesystem::temp_directory_path() / "medlarwayd-XXXXXX").string();
    if (mkdtemp(name.data()) == nullptr) {
        throw std::runtime_error("can't create a temporary folder for a daemon: " + name);
    }
    return name;
}

// Runs in the child process, so makes only calls that are async-signal-safe between fork and exec.
[[noreturn]] void execDaemon(const char *settings, const char *log)
{
    const int descriptor = open(log, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    dup2(descriptor, STDERR_FILENO);
    dup2(descriptor, STDOUT_FILENO);
    // The daemon must not inherit the test's sockets: a stand-in that was killed would otherwise go on listening.
    close_range(STDERR_FILENO + 1, ~0U, 0);
    execl(MEDLARWAYD_PATH, "medlarwayd", "--settings", settings, static_cast<char *>(nullptr));
    _exit(127);
}

} // namespace

std::string loopbackAddress(int number)
{
    const auto process = static_cast<unsigned>(getpid());
    return fmt::format("127.{}.{}.{}", 16 + process / 256 % 224, process % 256, number);
}

DaemonFolder::DaemonFolder()
    : path_(makeTempFolder())
{
}

DaemonFolder::~DaemonFolder()
{
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
}

void DaemonFolder::write(const std::string &file, const std::string &text) const
{
    const auto path = path_ + "/" + file;
    std::ofstream(path + ".new") << text;
    std::filesystem::rename(path + ".new", path);
}

std::chrono::steady_clock::duration DaemonFolder::writeInPlace(const std::string &file, const std::string &text,
                                                               std::chrono::milliseconds pauseAfterLine) const
{
    std::ofstream stream(path_ + "/" + file);
    std::istringstream lines(text);
    std::chrono::steady_clock::duration longest{};
    auto before = std::chrono::steady_clock::now();
    for (std::string line; std::getline(lines, line);) {
        stream << line << std::endl;
        std::this_thread::sleep_for(pauseAfterLine);
        longest = std::max(longest, std::chrono::steady_clock::now() - std::exchange(before, std::chrono::steady_clock::now()));
    }
    return longest;
}

DaemonProcess::DaemonProcess(const std::string &settings, const std::string &catalogue)
    : DaemonProcess([&] {
        auto folder = std::make_shared<DaemonFolder>();
        folder->write("catalogue.yaml", catalogue);
        folder->write("settings.yaml", settings);
        return folder;
    }())
{
}

DaemonProcess::DaemonProcess(std::shared_ptr<const DaemonFolder> folder)
    : folder_(std::move(folder))
{
    const auto settingsFile = folder_->path() + "/settings.yaml";
    const auto logFile = folder_->path() + "/log";
    std::array<int, 2> pipe{};
    if (pipe2(pipe.data(), O_CLOEXEC) != 0) {
        throw std::runtime_error("no pipe for a daemon");
    }
    process_ = fork();
    if (process_ == 0) {
        execDaemon(settingsFile.c_str(), logFile.c_str());
    }
    close(pipe[1]);
    // Returns once the child has closed the descriptors that it inherited: an address of the test that it holds can't be listened on again.
    char none = 0;
    const auto received = read(pipe[0], &none, 1);
    close(pipe[0]);
    if (process_ < 0 || received != 0) {
        throw std::runtime_error("fork failed");
    }
}

DaemonProcess::~DaemonProcess()
{
    if (!exitCode_) {
        signal(SIGCONT);
        signal(SIGKILL);
        waitpid(process_, nullptr, 0);
    }
}

bool DaemonProcess::waitReady(const std::string &operatorAddress, std::chrono::seconds limit) const
{
    return waitUntil([&operatorAddress] { return httpRequest(operatorAddress, "/readyz").body == "ready\n"; }, limit);
}

void DaemonProcess::signal(int number) const
{
    const std::lock_guard lock(mutex_);
    if (!exitCode_) {
        kill(process_, number);
    }
}

std::optional<int> DaemonProcess::waitExit(std::chrono::seconds limit)
{
    std::optional<int> exitCode;
    waitUntil(
        [&] {
            const std::lock_guard lock(mutex_);
            int status = 0;
            if (!exitCode_ && waitpid(process_, &status, WNOHANG) == process_) {
                exitCode_ = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
            }
            exitCode = exitCode_;
            return exitCode.has_value();
        },
        limit);
    return exitCode;
}

bool DaemonProcess::hasLogged() const
{
    std::error_code error;
    const auto bytes = std::filesystem::file_size(folder_->path() + "/log", error);
    return !error && bytes > 0;
}

std::string DaemonProcess::log() const
{
    return readTextFile(folder_->path() + "/log", kMaxLogBytes).value_or("");
}

std::string DaemonProcess::logTail() const
{
    constexpr std::size_t kTailBytes = 1500;
    const auto text = log();
    return text.substr(text.size() - std::min(text.size(), kTailBytes));
}

void sleepPollInterval()
{
    std::this_thread::sleep_for(kPollInterval);
}

} // namespace medlarway
