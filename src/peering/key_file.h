#pragma once

#include "peering/envelope.h"

#include <string>

namespace medlarway
{

/// Reads the peer keys from files. An empty previousKeyFile means that there is no previous key. Throws
/// Error(BadSettings) if a file can't be read or parsed.
PeerKeys loadPeerKeys(const std::string &keyFile, const std::string &previousKeyFile);

} // namespace medlarway
