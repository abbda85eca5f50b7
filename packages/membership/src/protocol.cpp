#include "fighold/membership/protocol.hpp"
