#pragma once

#include "platform/source.h"

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace medlarway
{

/// Name of the single shard that a catalogue file makes up.
inline constexpr std::string_view kFileShard = "file";

/// Options of the file source.
struct FileSourceOptions {
    std::string catalogueFile;
    std::vector<ListedHost> hosts; ///< delivered once, as one list per zone, with revision 1
    Duration pollInterval = std::chrono::milliseconds{100};
};

/// Reads a catalogue file. The revision is the file's modification time in nanoseconds, so that hosts which share a file, or copies that
/// keep the time, have the same revision. Throws Error(BadCatalogue) that lists every error in the file, one per line, each with file, line
/// and column.
CatalogueShard loadCatalogueFile(const std::string &path);

/// Creates a source that watches a local catalogue file, for use without a platform.
std::unique_ptr<PlatformSource> makeFileSource(boost::asio::io_context &context, FileSourceOptions options, PlatformSink sink);

} // namespace medlarway
