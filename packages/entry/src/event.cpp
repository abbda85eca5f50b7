#include "fighold/entry/event.hpp"
