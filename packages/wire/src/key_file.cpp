#include "fighold/wire/key_file.hpp"

#include <zmq.hpp>

#include <array>
#include <fcntl.h>
#include <fstream>
#include <optional>
#include <sys/stat.h>
#include <unistd.h>

namespace fighold::wire {
namespace {

constexpr std::size_t kKeyLength = 40; ///< Z85 text of 32 bytes
constexpr std::size_t kKeyBytes = 32;
constexpr mode_t kOwnerOnly = S_IRUSR | S_IWUSR;
constexpr mode_t kReadableByAll = kOwnerOnly | S_IRGRP | S_IROTH;

Finding
FindingAt(const std::filesystem::path& aFile, const std::string& aMessage)
{
  return { Place{ aFile.string(), 0, 0 }, aMessage };
}

bool
IsKey(const std::string& aText)
{
  std::array<std::uint8_t, kKeyBytes> bytes{};
  return aText.size() == kKeyLength && ::zmq_z85_decode(bytes.data(), aText.c_str()) != nullptr;
}

/// Creates a file that must not exist; its rights hold before the first byte is written.
bool
WriteNewFile(const std::filesystem::path& aFile, const std::string& aText, mode_t aMode)
{
  const int file = ::open(aFile.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, aMode);
  if (file < 0) {
    return false;
  }
  const bool written =
    ::write(file, aText.data(), aText.size()) == static_cast<ssize_t>(aText.size());
  const bool synced = ::fsync(file) == 0;
  return ::close(file) == 0 && written && synced;
}

/// @return key on the line that begins with the name
std::optional<std::string>
KeyOnLine(const std::filesystem::path& aFile, const std::string& aName)
{
  std::ifstream file(aFile);
  std::string name;
  std::string key;
  while (file >> name >> key) {
    if (name == aName && IsKey(key)) {
      return key;
    }
  }
  return std::nullopt;
}

} // namespace

Findings
NewKeyFiles(const std::filesystem::path& aFile)
{
  std::array<char, kKeyLength + 1> publicKey{};
  std::array<char, kKeyLength + 1> secretKey{};
  if (::zmq_curve_keypair(publicKey.data(), secretKey.data()) != 0) {
    return { FindingAt(aFile, "this build of ZeroMQ has no CURVE keys") };
  }
  const std::string publicLine = std::string("public ") + publicKey.data() + "\n";
  const std::string both = publicLine + "secret " + secretKey.data() + "\n";
  const std::filesystem::path publicFile = aFile.string() + ".pub";
  Findings findings;
  if (!WriteNewFile(aFile, both, kOwnerOnly)) {
    findings.push_back(FindingAt(aFile, "exists already or cannot be written"));
  } else if (!WriteNewFile(publicFile, publicLine, kReadableByAll)) {
    findings.push_back(FindingAt(publicFile, "exists already or cannot be written"));
  }
  return findings;
}

Checked<KeyPair>
ReadKeyFile(const std::filesystem::path& aFile)
{
  struct stat info = {};
  if (::stat(aFile.c_str(), &info) != 0 || !S_ISREG(info.st_mode)) {
    return { std::nullopt, { FindingAt(aFile, "cannot be read") } };
  }
  if ((info.st_mode & (S_IRWXG | S_IRWXO)) != 0) {
    return { std::nullopt, { FindingAt(aFile, "may be read by its owner only (chmod 600)") } };
  }
  const auto publicKey = KeyOnLine(aFile, "public");
  const auto secretKey = KeyOnLine(aFile, "secret");
  if (!publicKey || !secretKey) {
    return { std::nullopt,
             { FindingAt(aFile,
                         "holds no public and secret key; make one with figholdctl keys new") } };
  }
  return { KeyPair{ *publicKey, *secretKey }, {} };
}

Checked<PeerKeys>
ReadPeerKeys(const std::filesystem::path& aFolder)
{
  std::error_code ec;
  Findings findings;
  PeerKeys keys;
  for (const auto& it : std::filesystem::directory_iterator(aFolder, ec)) {
    if (it.path().extension() != ".pub") {
      continue;
    }
    if (const auto key = KeyOnLine(it.path(), "public")) {
      keys[it.path().stem().string()] = *key;
    } else {
      findings.push_back(FindingAt(it.path(), "holds no public key"));
    }
  }
  if (ec) {
    findings.push_back(FindingAt(aFolder, "cannot be read: " + ec.message()));
  } else if (keys.empty() && findings.empty()) {
    findings.push_back(FindingAt(aFolder, "holds no public keys (NAME.pub)"));
  }
  if (!findings.empty()) {
    return { std::nullopt, findings };
  }
  return { std::move(keys), {} };
}

} // namespace fighold::wire
