#include "platform/file_source.h"

#include "base/errors.h"
#include "base/hash.h"
#include "catalogue/catalogue_text.h"
#include "platform/platform_value.h"
#include "yaml/text_file.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <filesystem>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>

namespace medlarway
{

namespace
{

using std::filesystem::file_time_type;

// Distinguishes versions of a file without reading it.
struct FileStamp {
    file_time_type modified;
    std::uintmax_t size = 0;

    friend bool operator==(const FileStamp &, const FileStamp &) = default;
};

std::optional<FileStamp> fileStamp(const std::string &path)
{
    std::error_code error;
    FileStamp stamp;
    stamp.modified = std::filesystem::last_write_time(path, error);
    if (error) {
        return std::nullopt;
    }
    stamp.size = std::filesystem::file_size(path, error);
    return error ? std::nullopt : std::optional(stamp);
}

std::uint64_t revisionFromTime(const file_time_type &modified)
{
    const auto sinceEpoch = std::chrono::file_clock::to_sys(modified).time_since_epoch();
    const auto nanoseconds = std::chrono::duration_cast<std::chrono::nanoseconds>(sinceEpoch).count();
    return static_cast<std::uint64_t>(std::max<std::int64_t>(nanoseconds, 1));
}

std::vector<Service> parseFile(const std::string &path, const std::optional<std::string> &text)
{
    if (!text) {
        throw Error(ErrorKind::BadCatalogue, path + ": can't be read or is longer than 1 MiB");
    }
    auto parsed = parseCatalogue(*text);
    if (!parsed.value) {
        throw Error(ErrorKind::BadCatalogue, faultsToString(parsed.faults, path + ":"));
    }
    return std::move(*parsed.value);
}

class FileSource : public PlatformSource
{
public:
    FileSource(boost::asio::io_context &context, FileSourceOptions options, PlatformSink sink)
        : timer_(context)
        , options_(std::move(options))
        , sink_(std::move(sink))
    {
    }

    void start() override
    {
        std::map<std::string, HostList> byZone;
        for (const auto &host : options_.hosts) {
            auto &list = byZone[host.zone.name];
            list.zone = host.zone;
            list.revision = 1;
            list.hosts.push_back(host);
        }
        for (auto &[zone, list] : byZone) {
            undelivered_.emplace_back(std::move(list));
        }
        poll();
    }

    void setWatchedKeys(const std::vector<WatchedKey> & /*keys*/) override { }

    void stop() override
    {
        stopped_ = true;
        timer_.cancel();
    }

    std::string stateAsJson() const override;

private:
    void poll();
    void readIfChanged();
    void enqueue(std::vector<Service> services, std::uint64_t revision);
    void deliver();

    boost::asio::steady_timer timer_;
    FileSourceOptions options_;
    PlatformSink sink_;
    bool stopped_ = false;
    bool readable_ = true;
    std::optional<FileStamp> polledStamp_; ///< at the last poll
    std::optional<FileStamp> readStamp_; ///< of the version that was last read
    std::optional<std::uint64_t> contentHash_;
    std::uint64_t revision_ = 0;
    std::string refusal_; ///< errors of the latest version; empty if it is valid
    std::vector<PlatformUpdate> undelivered_;
};

// Polls instead of using file notifications, since the file may also be replaced by a rename or by a change of a link in its path. A change
// is read after at most two intervals.
void FileSource::poll()
{
    if (stopped_) {
        return;
    }
    readIfChanged();
    deliver();
    timer_.expires_after(toSteady(options_.pollInterval));
    timer_.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            poll();
        }
    });
}

void FileSource::readIfChanged()
{
    // Step 1. If the file is missing, the last valid version stays in force. Only the first failure is logged.
    const auto stamp = fileStamp(options_.catalogueFile);
    if (!stamp) {
        if (std::exchange(readable_, false)) {
            reportError(ErrorKind::PlatformUnreachable, options_.catalogueFile + ": can't be read");
        }
        return;
    }
    if (!std::exchange(readable_, true)) {
        logEvent(Event::PlatformRecovered, {field("file", options_.catalogueFile)});
    }
    // Step 2. A partly written file could be a valid but incomplete catalogue, so the file must not have changed for one interval nor
    // during the read.
    const auto stable = std::exchange(polledStamp_, stamp) == stamp;
    if (stamp == readStamp_ || !stable) {
        return;
    }
    count(Counter::PlatformReads);
    const auto text = readTextFile(options_.catalogueFile, kMaxValueBytes);
    if (fileStamp(options_.catalogueFile) != stamp) {
        return;
    }
    readStamp_ = stamp;
    const auto hash = text ? std::optional(hashBytes(*text)) : std::nullopt;
    if (hash && hash == contentHash_) {
        return;
    }
    contentHash_ = hash;
    // Step 3. A version is accepted or refused as a whole.
    try {
        enqueue(parseFile(options_.catalogueFile, text), revisionFromTime(stamp->modified));
        refusal_.clear();
    } catch (const Error &error) {
        refusal_ = error.what();
        reportError(ErrorKind::BadCatalogue, faultsOnOneLine(refusal_));
    }
}

// Replacing the file by an older copy is also a change, so the revision increases in any case.
void FileSource::enqueue(std::vector<Service> services, std::uint64_t revision)
{
    revision_ = std::max(revision, revision_ + 1);
    std::erase_if(undelivered_, [](const PlatformUpdate &update) { return std::holds_alternative<CatalogueShard>(update); });
    undelivered_.emplace_back(CatalogueShard{std::string(kFileShard), revision_, std::move(services)});
}

void FileSource::deliver()
{
    std::erase_if(undelivered_, [this](const PlatformUpdate &update) { return sink_(update); });
}

std::string FileSource::stateAsJson() const
{
    const nlohmann::json state{
        {"source", "file"}, {"file", options_.catalogueFile}, {"readable", readable_}, {"revision", revision_}, {"refusal", refusal_},
    };
    return state.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

CatalogueShard loadCatalogueFile(const std::string &path)
{
    const auto stamp = fileStamp(path);
    auto services = parseFile(path, readTextFile(path, kMaxValueBytes));
    return {std::string(kFileShard), stamp ? revisionFromTime(stamp->modified) : 1, std::move(services)};
}

std::unique_ptr<PlatformSource> makeFileSource(boost::asio::io_context &context, FileSourceOptions options, PlatformSink sink)
{
    return std::make_unique<FileSource>(context, std::move(options), std::move(sink));
}

} // namespace medlarway
