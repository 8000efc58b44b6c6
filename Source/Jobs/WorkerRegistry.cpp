#include "auburnhub/Jobs/WorkerRegistry.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <utility>
#include <vector>

namespace auburnhub {
namespace {

/// Two workers are considered equal if their speeds are in the same class: a
/// range of this ratio, of which one is centred at speed 1.
constexpr double SpeedClassRatio = 1.1;

/// A size of tasks that differs less than this from the one in use does not
/// change the count of free slots.
constexpr double SlotSizeTolerance = 0.05;

/// The initial speed of a worker has the weight of this many runs. The learned
/// speed therefore changes quickly during the first runs and slowly afterwards.
constexpr double InitialSpeedSamples = 4;

int speedClass(double Speed) {
  return static_cast<int>(
      std::lround(std::log(Speed) / std::log(SpeedClassRatio)));
}

double speedOfClass(int Class) { return std::pow(SpeedClassRatio, Class); }

} // namespace

bool WorkerRecord::isUsable(TimePoint Now) const {
  return m_Reachable && isDescribed() && !m_Spec.m_Leaving && !m_Evacuated &&
         Now >= m_PausedUntil;
}

bool WorkerRecord::isAvailable(TimePoint Now) const {
  if (!isUsable(Now))
    return false;
  if (m_Health.state() == HealthState::Ejected)
    return Now >= m_EjectedUntil;
  return m_Health.state() != HealthState::Probation || m_Running == 0;
}

WorkerRecord &WorkerRegistry::put(TimePoint Now, const WorkerSpec &Spec) {
  auto [It, Added] = m_Workers.try_emplace(Spec.m_Id);
  WorkerRecord &Record = It->second;
  if (Added) {
    Record.m_Free = Spec.m_Capacity;
  } else {
    removeFromIndices(Record);
    Record.m_Free += Spec.m_Capacity;
    Record.m_Free -= Record.m_Spec.m_Capacity;
  }
  Record.m_Spec = Spec;
  Record.m_Evacuated = m_Evacuated.contains(Spec.m_DataCentre);
  Record.m_ColdUntil = Spec.m_ColdMs > 0 ? addMs(Now, Spec.m_ColdMs)
                                         : std::min(Record.m_ColdUntil, Now);
  addToIndices(Record);
  update(Record);
  return Record;
}

void WorkerRegistry::erase(const std::string &Id) {
  auto Found = m_Workers.find(Id);
  if (Found == m_Workers.end())
    return;
  WorkerRecord &Record = Found->second;
  removeFromIndices(Record);
  m_Slots -= Record.m_Position.m_Slots;
  m_Unhealthy.erase(Id);
  m_Failures.eraseWorker(Id);
  m_Workers.erase(Found);
}

WorkerRecord *WorkerRegistry::find(const std::string &Id) {
  auto Found = m_Workers.find(Id);
  return Found == m_Workers.end() ? nullptr : &Found->second;
}

bool WorkerRegistry::meets(TimePoint Now, const WorkerRecord &Worker,
                           const TaskRequirements &Requirements,
                           bool &IsLimitedByLease) {
  ++m_Looks;
  const JobStep &Step = *Requirements.m_Step;
  const std::string &Id = Worker.m_Spec.m_Id;
  bool IsInUse = Requirements.m_MayBeEjected ? Worker.isUsable(Now)
                                             : Worker.isAvailable(Now);
  if (!IsInUse || !Step.m_TaskResources.fitsInto(Worker.m_Free))
    return false;
  bool IsForOthers = Worker.m_SetAside && Id != Requirements.m_SetAsideWorker;
  if (IsForOthers || (Requirements.m_RunsAlone && Worker.m_Running > 0))
    return false;
  if (!Step.m_RequiredLabel.empty() &&
      !Worker.m_Spec.hasLabel(Step.m_RequiredLabel))
    return false;
  if (Requirements.m_AvoidedWorkers &&
      Requirements.m_AvoidedWorkers->contains(Id))
    return false;
  if (Step.m_MaxOnOneWorker != 0 &&
      Requirements.m_TasksOnWorker(Id) >= Step.m_MaxOnOneWorker)
    return false;
  if (Worker.m_LeaseEnd > Requirements.m_RunUntil) {
    IsLimitedByLease = true;
    return false;
  }
  return true;
}

void WorkerRegistry::setEvacuated(TimePoint Now,
                                  const std::set<std::string> &DataCentres) {
  wake(Now);
  m_Evacuated = DataCentres;
  std::vector<WorkerRecord *> Returned;
  for (auto &[Id, Worker] : m_Workers) {
    bool Evacuated = m_Evacuated.contains(Worker.m_Spec.m_DataCentre);
    if (std::exchange(Worker.m_Evacuated, Evacuated) == Evacuated)
      continue;
    if (!Evacuated)
      Returned.push_back(&Worker);
    update(Worker);
  }
  double StepMs = m_Parameters.m_EvacuationRampMs /
                  std::max<double>(1, static_cast<double>(Returned.size()));
  for (std::size_t I = 0; I < Returned.size(); ++I) {
    Returned[I]->m_PausedUntil =
        std::max(Returned[I]->m_PausedUntil,
                 addMs(Now, static_cast<double>(I) * StepMs));
    update(*Returned[I]);
  }
}

WorkerChoice WorkerRegistry::choose(TimePoint Now,
                                    const TaskRequirements &Requirements) {
  const JobStep &Step = *Requirements.m_Step;
  std::int64_t Cpu = Step.m_TaskResources.m_CpuMillis;
  WorkerChoice Best;
  const WorkerIndex *All =
      findIndex(Requirements.m_Service, Step.m_RequiredLabel);
  if (!All)
    return Best;
  auto Accept = [&](const WorkerRecord &Worker) {
    return meets(Now, Worker, Requirements, Best.m_IsLimitedByLease);
  };
  auto AnyClass = [](int /*Class*/) { return true; };
  auto Take = [&](WorkerRecord *Worker, double ExpectedMs) {
    Best.m_Worker = Worker;
    Best.m_ExpectedMs = ExpectedMs;
    Best.m_Candidates = All->countWithFreeCpu(Cpu);
    return Best;
  };
  if (Requirements.m_MayBeEjected) {
    for (const std::string &Id : m_Unhealthy)
      if (WorkerRecord &Worker = m_Workers.at(Id);
          Worker.m_Spec.m_Service == Requirements.m_Service && Accept(Worker))
        return Take(&Worker, Requirements.m_ExpectedMs / speed(Worker));
    return Best;
  }
  const std::string &Preferred = Step.m_PreferredLabel;
  if (Preferred.empty()) {
    WorkerRecord *Found = All->find(Cpu, AnyClass, Accept);
    return Found ? Take(Found, Requirements.m_ExpectedMs / speed(*Found))
                 : Best;
  }
  const WorkerIndex *Near = findIndex(Requirements.m_Service, Preferred);
  WorkerRecord *Local = Near ? Near->find(Cpu, AnyClass, Accept) : nullptr;
  double MinRemoteSpeed =
      Local ? speed(*Local) * m_Parameters.m_RemoteDataFactor : 0;
  WorkerRecord *Remote = All->find(
      Cpu, [&](int Class) { return speedOfClass(Class) > MinRemoteSpeed; },
      [&](const WorkerRecord &Worker) {
        return !Worker.m_Spec.hasLabel(Preferred) && Accept(Worker);
      });
  if (Remote)
    return Take(Remote, Requirements.m_ExpectedMs / speed(*Remote) *
                            m_Parameters.m_RemoteDataFactor);
  return Local ? Take(Local, Requirements.m_ExpectedMs / speed(*Local)) : Best;
}

bool WorkerRegistry::meetsWhenIdle(const WorkerRecord &Worker,
                                   std::string_view Service,
                                   const JobStep &Step) {
  const WorkerSpec &Spec = Worker.m_Spec;
  return Spec.m_Service == Service && Worker.m_Reachable &&
         Worker.isDescribed() && !Spec.m_Leaving && !Worker.m_Evacuated &&
         Worker.m_Health.state() != HealthState::Ejected &&
         Step.m_TaskResources.fitsInto(Spec.m_Capacity) &&
         (Step.m_RequiredLabel.empty() || Spec.hasLabel(Step.m_RequiredLabel));
}

WorkerRecord *
WorkerRegistry::chooseToSetAside(TimePoint Now,
                                 const TaskRequirements &Requirements) {
  wake(Now);
  WorkerRecord *Best = nullptr;
  for (auto &[Id, Worker] : m_Workers) {
    if (!meetsWhenIdle(Worker, Requirements.m_Service, *Requirements.m_Step) ||
        (Requirements.m_AvoidedWorkers &&
         Requirements.m_AvoidedWorkers->contains(Id)))
      continue;
    if (!Worker.m_SetAside && (!Best || Worker.m_Running < Best->m_Running))
      Best = &Worker;
  }
  return Best;
}

bool WorkerRegistry::hasSuccessor(const WorkerIncarnation &Earlier) const {
  return std::any_of(
      m_Workers.begin(), m_Workers.end(), [&](const auto &Entry) {
        return Entry.second.m_Spec.incarnation().isSuccessorOf(Earlier);
      });
}

bool WorkerRegistry::fitsAnyIdleWorker(std::string_view Service,
                                       const JobStep &Step) const {
  return std::any_of(m_Workers.begin(), m_Workers.end(),
                     [&](const auto &Entry) {
                       const WorkerSpec &Spec = Entry.second.m_Spec;
                       return Spec.m_Service == Service &&
                              Step.m_TaskResources.fitsInto(Spec.m_Capacity) &&
                              (Step.m_RequiredLabel.empty() ||
                               Spec.hasLabel(Step.m_RequiredLabel));
                     });
}

bool WorkerRegistry::fitsAnyWorkerInUse(std::string_view Service,
                                        const JobStep &Step) const {
  return std::any_of(
      m_Workers.begin(), m_Workers.end(), [&](const auto &Entry) {
        const WorkerRecord &Worker = Entry.second;
        return !Worker.m_Evacuated && Worker.m_Spec.m_Service == Service &&
               Step.m_TaskResources.fitsInto(Worker.m_Spec.m_Capacity) &&
               (Step.m_RequiredLabel.empty() ||
                Worker.m_Spec.hasLabel(Step.m_RequiredLabel));
      });
}

double WorkerRegistry::bestSpeed(std::string_view Service,
                                 std::string_view Label) const {
  const WorkerIndex *All = findIndex(Service, Label);
  return All && !All->empty() ? speedOfClass(All->fastestClass()) : 1;
}

void WorkerRegistry::recordRunTime(WorkerRecord &Worker, double TookMs,
                                   double ExpectedMs) {
  if (TookMs <= 0 || ExpectedMs <= 0)
    return;
  ++Worker.m_SpeedSamples;
  double Weight = std::max(m_Parameters.m_SpeedWeight,
                           1 / (InitialSpeedSamples + Worker.m_SpeedSamples));
  double ObservedSpeed = std::clamp(
      ExpectedMs / TookMs, m_Parameters.m_MinSpeed, m_Parameters.m_MaxSpeed);
  double LogSpeed = std::log(Worker.m_Speed);
  Worker.m_Speed =
      std::exp(LogSpeed + Weight * (std::log(ObservedSpeed) - LogSpeed));
  update(Worker);
}

void WorkerRegistry::recordColdRunTime(const WorkerRecord &Worker,
                                       double TookMs, double ExpectedMs) {
  if (TookMs <= 0 || ExpectedMs <= 0)
    return;
  double Observed = std::clamp(ExpectedMs / (TookMs * Worker.m_Speed),
                               m_Parameters.m_MinSpeed, 1.0);
  m_ColdSpeed = std::exp(std::lerp(std::log(m_ColdSpeed), std::log(Observed),
                                   m_Parameters.m_SpeedWeight));
}

const WorkerIndex *WorkerRegistry::findIndex(std::string_view Service,
                                             std::string_view Label) const {
  auto Found = m_Services.find(Service);
  if (Found == m_Services.end())
    return nullptr;
  auto Index = Found->second.m_ByLabel.find(Label);
  return Index == Found->second.m_ByLabel.end() ? nullptr : &Index->second;
}

void WorkerRegistry::addToIndices(WorkerRecord &Worker) {
  ServiceWorkers &Service = m_Services[Worker.m_Spec.m_Service];
  auto &Indices = Worker.m_Position.m_Indices;
  Indices.push_back(&Service.m_ByLabel[""]);
  for (const std::string &Label : Worker.m_Spec.m_Labels) {
    WorkerIndex *Index = &Service.m_ByLabel[Label];
    if (std::find(Indices.begin(), Indices.end(), Index) == Indices.end())
      Indices.push_back(Index);
  }
}

void WorkerRegistry::removeFromIndices(WorkerRecord &Worker) {
  setPosition(Worker, false);
  Worker.m_Position.m_Indices.clear();
}

void WorkerRegistry::setPosition(WorkerRecord &Worker, bool IsIndexed) {
  WorkerPosition &Old = Worker.m_Position;
  int Class = speedClass(speed(Worker));
  std::int64_t FreeCpu = Worker.m_Free.m_CpuMillis;
  if (Old.m_IsIndexed == IsIndexed &&
      (!IsIndexed || (Old.m_Class == Class && Old.m_FreeCpu == FreeCpu)))
    return;
  for (WorkerIndex *Index : Old.m_Indices) {
    if (Old.m_IsIndexed)
      Index->erase(Old.m_Class, {Old.m_FreeCpu, &Worker});
    if (IsIndexed)
      Index->insert(Class, {FreeCpu, &Worker});
  }
  Old.m_IsIndexed = IsIndexed;
  Old.m_Class = Class;
  Old.m_FreeCpu = FreeCpu;
}

void WorkerRegistry::update(WorkerRecord &Worker) {
  WorkerPosition &Position = Worker.m_Position;
  bool IsAvailable = Worker.isAvailable(m_Now);
  setPosition(Worker, IsAvailable);
  if (IsAvailable && !Worker.m_SetAside) {
    std::int64_t &Gained = m_Services[Worker.m_Spec.m_Service].m_GainedCpu;
    Gained = std::max(Gained, Worker.m_Free.m_CpuMillis);
  }
  scheduleWake(Worker);
  m_Slots += slotsOf(Worker, m_Now) - Position.m_Slots;
  Position.m_Slots = slotsOf(Worker, m_Now);
  if (Worker.m_Health.state() != HealthState::Healthy)
    m_Unhealthy.insert(Worker.m_Spec.m_Id);
  else
    m_Unhealthy.erase(Worker.m_Spec.m_Id);
}

void WorkerRegistry::beginRun(WorkerRecord &Worker, const Resources &Used) {
  // Taking room makes nothing fit that did not fit before.
  std::int64_t &Gained = m_Services[Worker.m_Spec.m_Service].m_GainedCpu;
  std::int64_t GainedBefore = Gained;
  Worker.m_Free -= Used;
  ++Worker.m_Running;
  update(Worker);
  Gained = GainedBefore;
}

void WorkerRegistry::endRun(WorkerRecord &Worker, const Resources &Used) {
  Worker.m_Free += Used;
  --Worker.m_Running;
  update(Worker);
}

void WorkerRegistry::scheduleWake(const WorkerRecord &Worker) {
  TimePoint At = Worker.m_PausedUntil;
  if (Worker.m_Health.state() == HealthState::Ejected)
    At = std::max(At, Worker.m_EjectedUntil);
  for (TimePoint Change : {At, Worker.m_ColdUntil})
    if (Change > m_Now)
      m_Wakes.emplace(Change, Worker.m_Spec.m_Id);
}

void WorkerRegistry::wake(TimePoint Now) {
  m_Now = std::max(m_Now, Now);
  while (!m_Wakes.empty() && m_Wakes.begin()->first <= m_Now) {
    WorkerRecord *Worker = find(m_Wakes.begin()->second);
    m_Wakes.erase(m_Wakes.begin());
    if (!Worker)
      continue;
    if (Worker->m_Health.state() == HealthState::Ejected &&
        m_Now >= Worker->m_EjectedUntil)
      Worker->m_Health.beginProbation();
    update(*Worker);
  }
}

std::optional<TimePoint> WorkerRegistry::nextWake(TimePoint Now) const {
  auto Next = m_Wakes.upper_bound({Now, std::string(1, '\xff')});
  if (Next == m_Wakes.end())
    return std::nullopt;
  return Next->first;
}

std::int64_t WorkerRegistry::takeGainedCpu(std::string_view Service) {
  auto Found = m_Services.find(Service);
  return Found == m_Services.end()
             ? NoCpu
             : std::exchange(Found->second.m_GainedCpu, NoCpu);
}

std::int64_t WorkerRegistry::maxFreeCpu(std::string_view Service) const {
  const WorkerIndex *All = findIndex(Service, "");
  return All ? All->maxFreeCpu() : NoCpu;
}

std::int64_t WorkerRegistry::slotsOf(const WorkerRecord &Worker,
                                     TimePoint Now) const {
  if (m_SlotCpuMillis <= 0 || Worker.m_SetAside || !Worker.isAvailable(Now))
    return 0;
  return std::max<std::int64_t>(0, Worker.m_Free.m_CpuMillis) / m_SlotCpuMillis;
}

void WorkerRegistry::setSlotSize(std::int64_t CpuMillis) {
  auto Difference = static_cast<double>(std::abs(CpuMillis - m_SlotCpuMillis));
  if (m_SlotCpuMillis > 0 &&
      Difference <= SlotSizeTolerance * static_cast<double>(m_SlotCpuMillis))
    return;
  m_SlotCpuMillis = CpuMillis;
  m_Slots = 0;
  for (auto &[Id, Worker] : m_Workers) {
    Worker.m_Position.m_Slots = slotsOf(Worker, m_Now);
    m_Slots += Worker.m_Position.m_Slots;
  }
}

std::set<const WorkerRecord *>
WorkerRegistry::workersToWake(TimePoint Now) const {
  std::set<const WorkerRecord *> Result;
  for (const auto &[At, Id] : m_Wakes) {
    if (At > Now)
      break;
    auto Found = m_Workers.find(Id);
    if (Found != m_Workers.end())
      Result.insert(&Found->second);
  }
  return Result;
}

std::size_t WorkerRegistry::freeSlots(TimePoint Now) const {
  std::int64_t Total = m_Slots;
  for (const WorkerRecord *Worker : workersToWake(Now))
    Total += slotsOf(*Worker, Now) - Worker->m_Position.m_Slots;
  return static_cast<std::size_t>(Total);
}

std::int64_t WorkerRegistry::largestFreeCpu(TimePoint Now) const {
  std::int64_t Largest = 0;
  for (const auto &[Service, Workers] : m_Services)
    Largest = std::max(Largest, maxFreeCpu(Service));
  for (const WorkerRecord *Worker : workersToWake(Now))
    if (Worker->isAvailable(Now))
      Largest = std::max(Largest, Worker->m_Free.m_CpuMillis);
  return Largest;
}

} // namespace auburnhub
