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

// What tells one version of a file from the next without reading it.
struct FileStamp {
    file_time_type changed;
    std::uintmax_t size = 0;

    friend bool operator==(const FileStamp &, const FileStamp &) = default;
};

std::optional<FileStamp> stampOf(const std::string &path)
{
    std::error_code error;
    FileStamp stamp;
    stamp.changed = std::filesystem::last_write_time(path, error);
    if (error) {
        return std::nullopt;
    }
    stamp.size = std::filesystem::file_size(path, error);
    return error ? std::nullopt : std::optional(stamp);
}

std::uint64_t revisionOf(const file_time_type &changed)
{
    const auto sinceEpoch = std::chrono::file_clock::to_sys(changed).time_since_epoch();
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
        look();
    }

    void setWatchedKeys(const std::vector<WatchedKey> & /*keys*/) override { }

    void stop() override
    {
        stopped_ = true;
        timer_.cancel();
    }

    std::string stateAsJson() const override;

private:
    void look();
    void readIfChanged();
    void accept(std::vector<Service> services, std::uint64_t revision);
    void deliver();

    boost::asio::steady_timer timer_;
    FileSourceOptions options_;
    PlatformSink sink_;
    bool stopped_ = false;
    bool readable_ = true;
    std::optional<FileStamp> lastStamp_; ///< at the last look
    std::optional<FileStamp> readStamp_; ///< of the version that was read
    std::optional<std::uint64_t> contentHash_;
    std::uint64_t revision_ = 0;
    std::string refusal_; ///< what was wrong with the latest version; empty where it is in force
    std::vector<PlatformUpdate> undelivered_;
};

// Polls, since a file may also be replaced by a rename or through a link whose folder changes; a change
// is read after two intervals at the latest.
void FileSource::look()
{
    if (stopped_) {
        return;
    }
    readIfChanged();
    deliver();
    timer_.expires_after(toSteady(options_.pollInterval));
    timer_.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            look();
        }
    });
}

void FileSource::readIfChanged()
{
    // Step 1. A file that is gone keeps the last good version in force; that is told once.
    const auto stamp = stampOf(options_.catalogueFile);
    if (!stamp) {
        if (std::exchange(readable_, false)) {
            reportError(ErrorKind::PlatformUnreachable, options_.catalogueFile + ": can't be read");
        }
        return;
    }
    if (!std::exchange(readable_, true)) {
        logEvent(Event::PlatformRecovered, {field("file", options_.catalogueFile)});
    }
    // Step 2. A file that is just being written could be a sound part of a catalogue, so it must have
    // stayed the same for one interval and while it is read.
    const auto settled = std::exchange(lastStamp_, stamp) == stamp;
    if (stamp == readStamp_ || !settled) {
        return;
    }
    count(Counter::PlatformReads);
    const auto text = readTextFile(options_.catalogueFile, kLongestValueBytes);
    if (stampOf(options_.catalogueFile) != stamp) {
        return;
    }
    readStamp_ = stamp;
    const auto hash = text ? std::optional(hashBytes(*text)) : std::nullopt;
    if (hash && hash == contentHash_) {
        return;
    }
    contentHash_ = hash;
    // Step 3. Refused whole or taken whole.
    try {
        accept(parseFile(options_.catalogueFile, text), revisionOf(stamp->changed));
        refusal_.clear();
    } catch (const Error &error) {
        refusal_ = error.what();
        reportError(ErrorKind::BadCatalogue, faultsOnOneLine(refusal_));
    }
}

// An older copy that is put in place is an edit too, so the revision rises in any case.
void FileSource::accept(std::vector<Service> services, std::uint64_t revision)
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
    const auto stamp = stampOf(path);
    auto services = parseFile(path, readTextFile(path, kLongestValueBytes));
    return {std::string(kFileShard), stamp ? revisionOf(stamp->changed) : 1, std::move(services)};
}

std::unique_ptr<PlatformSource> makeFileSource(boost::asio::io_context &context, FileSourceOptions options, PlatformSink sink)
{
    return std::make_unique<FileSource>(context, std::move(options), std::move(sink));
}

} // namespace medlarway
