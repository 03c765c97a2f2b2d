#pragma once

#include "platform/source.h"

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace medlarway
{

/// The name of the one shard that a catalogue file is.
inline constexpr std::string_view kFileShard = "file";

/// What the file source reads.
struct FileSourceOptions {
    std::string catalogueFile;
    std::vector<ListedHost> hosts; ///< delivered once, by zone, at revision 1
    Duration pollInterval = std::chrono::milliseconds{100};
};

/// Reads a catalogue file whole. The revision is the file's time of change in nanoseconds, so that hosts
/// which share one file, or get the same copy, agree on it.
/// Throws Error(BadCatalogue) with every fault, one a line, each with file, line and column.
CatalogueShard loadCatalogueFile(const std::string &path);

/// Watches a local catalogue file: the embedded default, without a platform.
std::unique_ptr<PlatformSource> makeFileSource(boost::asio::io_context &context, FileSourceOptions options, PlatformSink sink);

} // namespace medlarway
