#include "auburnhub/Dispatch/DispatchRole.h"
#include "auburnhub/Program/Program.h"

int main(int Argc, char **Argv) {
  return auburnhub::programMain<auburnhub::DispatchRole>(
      Argc, Argv,
      {"auburnhub-dispatch", "dispatch",
       "Owns submissions: queues their tasks, runs them on endpoints, answers. "
       "Runs once on each entry VM."});
}
