#include "peering/key_file.h"

#include "base/errors.h"

#include <fstream>
#include <iterator>

namespace medlarway
{

namespace
{

std::string readKeyFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        throw Error(ErrorKind::BadSettings, "the peer key file " + path + " can't be read");
    }
    return {std::istreambuf_iterator<char>(file), {}};
}

} // namespace

PeerKeys loadPeerKeys(const std::string &keyFile, const std::string &previousKeyFile)
{
    PeerKeys keys;
    keys.current = parsePeerKey(readKeyFile(keyFile));
    if (!previousKeyFile.empty()) {
        keys.previous = parsePeerKey(readKeyFile(previousKeyFile));
    }
    return keys;
}

} // namespace medlarway
