#include <iostream>

#include "benchlink/benchlink.hpp"

int main() {
  std::ios::sync_with_stdio(false);
  std::cin.tie(nullptr);
  return anisewick::benchlink::serve(std::cin, std::cout, std::cerr);
}
