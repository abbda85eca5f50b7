#include "fighold/routing/share_message.hpp"
