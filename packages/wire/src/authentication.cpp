#include "authentication.hpp"

#include <algorithm>
#include <array>
#include <stdexcept>
#include <vector>

namespace fighold::wire::detail {
namespace {

constexpr std::size_t kKeyText = 41; ///< Z85 text with its end

/// Places of the parts of a question.
constexpr std::size_t kVersionPart = 0;
constexpr std::size_t kRequestPart = 1;
constexpr std::size_t kMechanismPart = 5;
constexpr std::size_t kKeyPart = 6;
constexpr std::size_t kParts = 7;
constexpr std::size_t kKeyBytes = 32;

std::string
UserOf(const std::vector<std::string>& aParts, const PeerKeys& aPeers)
{
  if (aParts.size() != kParts || aParts[kMechanismPart] != "CURVE" ||
      aParts[kKeyPart].size() != kKeyBytes) {
    return {};
  }
  std::array<char, kKeyText> text{};
  std::array<std::uint8_t, kKeyBytes> key{};
  std::copy(aParts[kKeyPart].begin(), aParts[kKeyPart].end(), key.begin());
  ::zmq_z85_encode(text.data(), key.data(), key.size());
  const auto it = std::find_if(aPeers.begin(), aPeers.end(), [&text](const auto& aPeer) {
    return aPeer.second == text.data();
  });
  return it == aPeers.end() ? std::string() : it->first;
}

void
AnswerOne(zmq::socket_t& aAuthenticator,
          const std::vector<std::string>& aParts,
          const PeerKeys& aPeers)
{
  const std::string user = UserOf(aParts, aPeers);
  const std::array<std::string, 6> answer{ aParts[kVersionPart],
                                           aParts.size() > kRequestPart ? aParts[kRequestPart] : "",
                                           user.empty() ? "400" : "200",
                                           user.empty() ? "unknown key" : "OK",
                                           user,
                                           "" };
  for (std::size_t n = 0; n < answer.size(); ++n) {
    const auto more = n + 1 < answer.size() ? zmq::send_flags::sndmore : zmq::send_flags::none;
    aAuthenticator.send(zmq::buffer(answer[n]), more | zmq::send_flags::dontwait);
  }
}

} // namespace

zmq::socket_t
OpenAuthenticator(zmq::context_t& aContext)
{
  zmq::socket_t socket(aContext, zmq::socket_type::rep);
  socket.set(zmq::sockopt::linger, 0);
  socket.bind("inproc://zeromq.zap.01");
  return socket;
}

void
AnswerAuthentications(zmq::socket_t& aAuthenticator, const PeerKeys& aPeers)
{
  while (true) {
    std::vector<std::string> parts;
    zmq::message_t part;
    do {
      if (!aAuthenticator.recv(part, zmq::recv_flags::dontwait)) {
        return;
      }
      parts.push_back(part.to_string());
    } while (part.more());
    AnswerOne(aAuthenticator, parts, aPeers);
  }
}

void
SetServerKeys(zmq::socket_t& aSocket, const Keys& aKeys)
{
  aSocket.set(zmq::sockopt::curve_server, true);
  aSocket.set(zmq::sockopt::curve_secretkey, aKeys.mOwn.mSecret);
  aSocket.set(zmq::sockopt::zap_domain, "fighold");
}

void
SetClientKeys(zmq::socket_t& aSocket, const Keys& aKeys, const std::string& aPeer)
{
  const auto peer = aKeys.mPeers.find(aPeer);
  if (peer == aKeys.mPeers.end()) {
    throw std::runtime_error("there is no public key of \"" + aPeer + "\"");
  }
  aSocket.set(zmq::sockopt::curve_serverkey, peer->second);
  aSocket.set(zmq::sockopt::curve_publickey, aKeys.mOwn.mPublic);
  aSocket.set(zmq::sockopt::curve_secretkey, aKeys.mOwn.mSecret);
}

} // namespace fighold::wire::detail
