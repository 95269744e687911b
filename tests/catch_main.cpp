// The main of every test on Catch2, compiled once.
#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
