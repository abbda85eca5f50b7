#include "fighold/ring/bounded_ring.hpp"
