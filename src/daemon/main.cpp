#include "base/log.h"
#include "base/version.h"
#include "daemon/daemon.h"
#include "entry/entry_host.h"
#include "settings/entry_settings.h"
#include "startup/process_signals.h"
#include "startup/start.h"
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
    using namespace medlarway;
    blockProcessSignals();
    // A write to a closed connection must fail with an error rather than kill the process.
    std::signal(SIGPIPE, SIG_IGN);
    absl::FlagsUsageConfig usage;
    usage.version_string = [] { return fmt::format("medlarwayd {}\n", kVersion); };
    absl::SetFlagsUsageConfig(usage);
    absl::SetProgramUsageMessage("medlarwayd --settings FILE");
    const auto positional = absl::ParseCommandLine(argumentCount, arguments);
    const auto file = absl::GetFlag(FLAGS_settings);
    if (file.empty() || positional.size() > 1) {
        fmt::print(stderr, "usage: medlarwayd --settings FILE\n");
        return static_cast<int>(ExitCode::BadInput);
    }
    setLogDescriptor(STDOUT_FILENO);
    beginStart();
    const auto planHost = [&file](boost::asio::io_context &context, ProcessSignals &signals, const std::string &text) {
        return hasEntrySettings(text) ? planEntryHost(context, signals, file, text) : planDaemon(context, signals, file, text);
    };
    return static_cast<int>(runProcess(file, planHost));
}
