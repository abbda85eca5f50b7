#pragma once

#include "fighold/core/finding.hpp"

#include <compare>
#include <filesystem>
#include <map>
#include <string>

/// CURVE keys of processes, kept in files.
///
/// A key file holds the lines "public KEY" and "secret KEY"; its counterpart FILE.pub holds only
/// the first one and may be read by all. Keys are in the Z85 text form of ZeroMQ.
namespace fighold::wire {

/// Keys of one process.
struct KeyPair
{
  std::string mPublic;
  std::string mSecret;

  friend auto operator<=>(const KeyPair&, const KeyPair&) = default;
};

/// Public keys by the name of the process.
using PeerKeys = std::map<std::string, std::string>;

/// Keys of this process and of those that it may talk to.
struct Keys
{
  KeyPair mOwn;
  PeerKeys mPeers;

  friend auto operator<=>(const Keys&, const Keys&) = default;
};

/// Makes a pair of keys and writes FILE, which only its owner may read, and FILE.pub.
/// @return findings: a file that exists already or cannot be written
Findings
NewKeyFiles(const std::filesystem::path& aFile);

/// Reads a key file.
/// @return keys, or findings; a file that others can read is refused
Checked<KeyPair>
ReadKeyFile(const std::filesystem::path& aFile);

/// Reads the public keys of a folder; NAME.pub belongs to the process NAME.
/// @return keys, or every finding
Checked<PeerKeys>
ReadPeerKeys(const std::filesystem::path& aFolder);

} // namespace fighold::wire
