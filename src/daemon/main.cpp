#include "base/log.h"
#include "base/version.h"
#include "daemon/daemon.h"
#include "entry/entry_host.h"
#include "startup/start_cost.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>
#include <csignal>
#include <fmt/format.h>
#include <string>
#include <unistd.h>

ABSL_FLAG(std::string, settings, "", "the YAML file with this host's settings");

int main(int argumentCount, char **arguments)
{
    absl::FlagsUsageConfig usage;
    usage.version_string = [] { return fmt::format("medlarwayd {}\n", medlarway::kVersion); };
    absl::SetFlagsUsageConfig(usage);
    absl::SetProgramUsageMessage("medlarwayd --settings FILE");
    const auto positional = absl::ParseCommandLine(argumentCount, arguments);
    const auto settings = absl::GetFlag(FLAGS_settings);
    if (settings.empty() || positional.size() > 1) {
        fmt::print(stderr, "usage: medlarwayd --settings FILE\n");
        return static_cast<int>(medlarway::ExitCode::BadInput);
    }
    // A write to a closed connection must fail with an error rather than kill the process.
    std::signal(SIGPIPE, SIG_IGN);
    medlarway::setLogDescriptor(STDOUT_FILENO);
    medlarway::beginStart();
    return medlarway::isEntryFile(settings) ? medlarway::runEntryHost(settings) : static_cast<int>(medlarway::runDaemon(settings));
}
