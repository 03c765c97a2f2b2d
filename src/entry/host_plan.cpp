#include "entry/entry_host.h"

#include <memory>

namespace medlarway
{

HostPlan planEntryHost(boost::asio::io_context &context, ProcessSignals &signals, const std::string &settingsFile, const std::string &text)
{
    const auto settings = entrySettingsFrom(text, settingsFile);
    setLogLevel(settings.logLevel);
    HostPlan plan;
    plan.stopTime = settings.gracePeriod;
    plan.open = [&context, &signals, settingsFile, settings] {
        const auto host = std::make_shared<EntryHost>(context, settingsFile, settings);
        return [host, &signals] { host->run(signals); };
    };
    return plan;
}

} // namespace medlarway
