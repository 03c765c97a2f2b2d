#include "host.h"

#include <csignal>
#include <cstdio>
#include <fcntl.h>
#include <fstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace standin
{

namespace
{

// As deploy/entry-settings.yaml renders them, with the bounds of the small sites.
std::string textOf(const HostSettings &settings)
{
    const auto at = [&settings](int offset) {
        return "\"" + toText({settings.ip, static_cast<std::uint16_t>(settings.firstPort + offset)}) + "\"\n";
    };
    std::string seeds;
    for (const auto &seed : settings.seeds) {
        seeds += (seeds.empty() ? "\"" : ",\"") + toText(seed) + "\"";
    }
    return "entry:\n  name: \"" + settings.name + "\"\n  zone: \"" + settings.zone + "\"\n  packets: " + at(0) + "  ready: " + at(1)
           + "  control: " + at(2) + "  store: \"" + toText(settings.store) + "\"\n  peers: " + at(3) + "  seeds: [" + seeds
           + "]\n  grace-seconds: 6\n  drain-bound-ms: \"3000\"\n  evacuation-bound-ms: \"\"\n  config-bound-ms: \"3000\"\n"
             "  warm-up-overage: \"\"\n  warm-up-slack: \"\"\n...\n";
}

} // namespace

HostProcess::HostProcess(std::string daemon, std::string folder, HostSettings settings)
    : daemon_(std::move(daemon))
    , folder_(std::move(folder))
    , settings_(std::move(settings))
{
    std::ofstream(folder_ + "/" + settings_.name + ".yaml") << textOf(settings_);
}

HostProcess::~HostProcess()
{
    if (runs()) {
        kill(process_, SIGKILL);
        waitpid(process_, nullptr, 0);
    }
}

void HostProcess::setSeeds(std::vector<Address> seeds)
{
    settings_.seeds = std::move(seeds);
    const auto file = folder_ + "/" + settings_.name + ".yaml";
    std::ofstream(file + ".new") << textOf(settings_);
    rename((file + ".new").c_str(), file.c_str());
}

void HostProcess::start()
{
    const auto file = folder_ + "/" + settings_.name + ".yaml";
    const auto log = folder_ + "/" + settings_.name + ".log";
    process_ = fork();
    if (process_ == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL); // no host outlives the stand-ins
        const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(output, STDOUT_FILENO);
        dup2(output, STDERR_FILENO);
        execl(daemon_.c_str(), daemon_.c_str(), "--settings", file.c_str(), static_cast<char *>(nullptr));
        _exit(127);
    }
}

void HostProcess::signal(int number) const
{
    if (process_ > 0) {
        kill(process_, number);
    }
}

bool HostProcess::runs()
{
    if (process_ > 0 && waitpid(process_, &status_, WNOHANG) == process_) {
        process_ = 0;
    }
    return process_ > 0;
}

} // namespace standin
