#include "startup/start.h"

#include "base/errors.h"
#include "settings/settings_text.h"
#include "yaml/fault.h"

#include <exception>

namespace medlarway
{

ExitCode runProcess(boost::asio::io_context & /*context*/, ProcessSignals & /*signals*/, const std::string &settingsFile,
                    const PlanHost &planHost)
{
    try {
        planHost(loadSettingsText(settingsFile)).open()();
        return ExitCode::Stopped;
    } catch (const Error &error) {
        reportError(error.kind(), faultsOnOneLine(error.what()));
        const bool badInput = error.kind() == ErrorKind::BadSettings || error.kind() == ErrorKind::BadCatalogue;
        return badInput ? ExitCode::BadInput : ExitCode::Failed;
    } catch (const std::exception &exception) {
        logEvent(Event::FatalError, {field("detail", exception.what())});
        return ExitCode::Failed;
    }
}

} // namespace medlarway
