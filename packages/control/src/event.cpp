#include "fighold/control/event.hpp"
