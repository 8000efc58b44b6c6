#include "auburnhub/Control/ControlRole.h"

#include "ControlNode.h"

#include "auburnhub/Http/Problem.h"

namespace auburnhub {

ControlRole::ControlRole(const ProcessContext &Context, const Settings &Options)
    : m_Node(std::make_unique<ControlNode>(Context, Options)) {}

ControlRole::~ControlRole() = default;

absl::Status ControlRole::start() { return m_Node->start(); }

Address ControlRole::linkAddress() const { return m_Node->linkAddress(); }

bool ControlRole::isReady() const { return m_Node->isReady(); }

nlohmann::json ControlRole::status() { return m_Node->status(); }

HttpResponse ControlRole::handle(const HttpRequest &) {
  return problemResponse(
      {FailureCode::NotFound, "no such page", "not_run", "", 0});
}

void ControlRole::beginStop(std::function<void(bool)> Drained) {
  m_Node->beginStop(std::move(Drained));
}

void ControlRole::stop() { m_Node->stop(); }

} // namespace auburnhub
