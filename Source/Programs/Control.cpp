#include "auburnhub/Control/ControlRole.h"
#include "auburnhub/Program/Program.h"

int main(int Argc, char **Argv) {
  constexpr auburnhub::ProgramInfo Info = {
      "auburnhub-control", "control",
      "Connects its VM with the others: follows the platform's log, holds the\n"
      "configuration in force, claims ids for the dispatcher, and exchanges\n"
      "heartbeats with the control processes of other VMs."};
  return auburnhub::programMain<auburnhub::ControlRole>(Argc, Argv, Info);
}
