#include "auburnhub/Ctl/Command.h"

#include <iostream>

int main(int Argc, char **Argv) {
  return auburnhub::ctlMain(Argc, Argv, {std::cin, std::cout, std::cerr});
}
