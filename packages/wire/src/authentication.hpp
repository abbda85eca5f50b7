#pragma once

#include "fighold/wire/key_file.hpp"

#include <zmq.hpp>

#include <string>

/// Keys on the sockets of the message thread.
namespace fighold::wire::detail {

/// Answers ZeroMQ's questions whether a connecting process may connect (ZAP 1.0, RFC 27).
zmq::socket_t
OpenAuthenticator(zmq::context_t& aContext);

/// Answers all questions that wait. A process with a known key is given its name as the user of its
/// messages; all others are refused.
void
AnswerAuthentications(zmq::socket_t& aAuthenticator, const PeerKeys& aPeers);

/// Makes a socket accept only processes with known keys.
void
SetServerKeys(zmq::socket_t& aSocket, const Keys& aKeys);

/// Makes a socket connect to one process only.
/// @throws std::runtime_error when the process has no known key
void
SetClientKeys(zmq::socket_t& aSocket, const Keys& aKeys, const std::string& aPeer);

} // namespace fighold::wire::detail
