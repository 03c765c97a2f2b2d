#include "daemon/platform_worker.h"

#include "daemon/control.h"
#include "platform/file_source.h"
#include "platform/store_source.h"

#include <utility>

namespace medlarway
{

namespace
{

constexpr std::size_t kPlatformRingCapacity = 256;

std::unique_ptr<PlatformSource> makeSource(boost::asio::io_context &context, const Settings &settings, PlatformSink sink)
{
    if (settings.platform.address) {
        StoreSourceOptions options;
        options.address = *settings.platform.address;
        options.seed = hostIdOf(settings).value;
        return makeStoreSource(context, options, std::move(sink));
    }
    FileSourceOptions options;
    options.catalogueFile = settings.platform.catalogueFile;
    options.hosts = settings.hosts;
    return makeFileSource(context, options, std::move(sink));
}

} // namespace

PlatformWorker::PlatformWorker(const Settings &settings, PlatformSink sink)
    : thread_("platform", kPlatformRingCapacity)
    , source_(makeSource(thread_.context(), settings, std::move(sink)))
{
}

PlatformWorker::~PlatformWorker()
{
    stop();
}

void PlatformWorker::start()
{
    thread_.post([this] { source_->start(); });
    thread_.start();
}

void PlatformWorker::setWatchedKeys(std::vector<WatchedKey> keys)
{
    thread_.post([this, keys = std::move(keys)] { source_->setWatchedKeys(keys); });
}

std::string PlatformWorker::stateAsJson()
{
    return thread_.call<std::string>([this] { return source_->stateAsJson(); }, R"({"error":"the platform thread does not answer"})");
}

void PlatformWorker::stop()
{
    thread_.call<bool>(
        [this] {
            source_->stop();
            return true;
        },
        false);
    thread_.stop();
}

} // namespace medlarway
