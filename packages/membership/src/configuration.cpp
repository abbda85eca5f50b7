#include "fighold/membership/configuration.hpp"
