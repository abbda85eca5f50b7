#pragma once

#include "context.hpp"

/// Answers about the configuration in use: entries for callers, route sets for operators.
namespace fighold::control {

/// Answers with the entries of the caller's region, or with all others when it has none.
void
AnswerDirectory(Context& aContext, const DirectoryCall& aCall);

/// Starts a read of the route set. Only a leader answers it, once a majority has confirmed its lead
/// after the read arrived; other processes name the leader.
void
ReadRoutes(Context& aContext, const RoutesCall& aCall);

/// Answers the reads that a majority has confirmed, and those that waited too long.
void
AnswerReads(Context& aContext);

} // namespace fighold::control
