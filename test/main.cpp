/// The one object with Catch2's main.

#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
