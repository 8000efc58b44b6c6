#include "auburnhub/Entry/EntryRole.h"
#include "auburnhub/Program/Program.h"

int main(int Argc, char **Argv) {
  constexpr auburnhub::ProgramInfo Info = {
      "auburnhub-entry", "entry",
      "Takes callers' requests over HTTP, forwards each to a dispatcher and "
      "returns\nthe whole answer or a typed problem."};
  return auburnhub::programMain<auburnhub::EntryRole>(Argc, Argv, Info);
}
