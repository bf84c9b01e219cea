#include "Play.h"

#include <algorithm>
#include <csignal>
#include <fmt/format.h>

namespace dfm::test {

namespace {

/// Bounds of the users' rules for a change and for the leaving of an instance.
constexpr Duration kInForce = 2500ms;
/// After a disturbance of the store or of a VM its bounds hold again.
constexpr Duration kSettleTime = 3s;
constexpr Duration kOutage = 600ms;
constexpr Duration kReportPeriod = 1500ms;
/// The platform removes an entry that is not renewed for this many periods.
constexpr int kPeriodsToLapse = 3;
constexpr Duration kCopyPeriod = 500ms;
/// A VM in touch serves a request in this time.
constexpr Duration kServedWithin = 2s;
constexpr size_t kMaxCopies = 20;
constexpr Duration kCallPeriod = 100ms;
constexpr Duration kRestartTime = 300ms;

const std::string kServices[] = { "first", "second" };

} // namespace

Play::Play(std::vector<std::string> aDomains, size_t aEntries)
  : fleet_(store_.Address(), std::move(aDomains))
  , entries_(aEntries)
{
  for (size_t i = 0; i < kInstances; ++i)
    instances_.push_back(std::make_unique<StandInInstance>(fmt::format("i-{}", i)));
  store_.StateEpoch(1);
  {
    const std::scoped_lock lock(mutex_);
    Confirm();
    ReportAll();
  }
  for (size_t i = 0; i < fleet_.Size(); ++i)
    fleet_.Start(i);
  const bool ready = GatewayFixture::WaitUntil([this] {
    size_t count = 0;
    for (size_t i = 0; i < fleet_.Size(); ++i)
      count += fleet_.IsReady(i) ? 1 : 0;
    return count == fleet_.Size();
  });
  if (!ready)
    throw std::runtime_error("the VMs did not become ready");
}

Play::~Play()
{
  ends_ = true;
  for (std::thread& thread : threads_)
    thread.join();
}

std::string
Play::ServiceOf(size_t aInstance) const
{
  return kServices[aInstance % std::size(kServices)];
}

void
Play::Confirm()
{
  ++version_;
  WriteManifest();
  confirmations_.push_back({ Clock::now(), kServices[version_ % std::size(kServices)] });
}

void
Play::WriteManifest()
{
  json::value spec =
    ManifestSpec(version_, { { .service = kServices[0] }, { .service = kServices[1] } });
  json::array& routes = spec.at("routes").as_array();
  routes.resize(1);
  routes[0].as_object()["backend"] = kServices[version_ % std::size(kServices)];
  store_.Put("config", "main", spec);
}

void
Play::Report(size_t aInstance)
{
  const bool isUsed = aInstance < kInstances;
  const StandInInstance& instance = *instances_[aInstance % kInstances];
  json::value spec = InstanceSpec(instance,
                                  isUsed ? ServiceOf(aInstance) : "idle",
                                  draining_.contains(aInstance) ? "draining" : "ready");
  spec.at("status").as_object()["seq"] = report_;
  store_.Put("servers", fmt::format("i-{}", aInstance), spec);
}

void
Play::ReportAll()
{
  ++report_;
  for (size_t i = 0; i < kInstances + entries_; ++i) {
    if (!leftAt_.contains(i) || draining_.contains(i))
      Report(i);
  }
}

void
Play::Leave(size_t aInstance, bool aDrains)
{
  if (aDrains) {
    ++report_;
    draining_.insert(aInstance);
    Report(aInstance);
  } else {
    store_.Delete("servers", fmt::format("i-{}", aInstance));
  }
  leftAt_.try_emplace(aInstance, Clock::now());
}

void
Play::ForgetLostRemovals(const StandInStore::Copy& aCopy)
{
  const auto entries = aCopy.objects.find("servers");
  for (auto& [instance, left] : leftAt_) {
    const bool isLost = !draining_.contains(instance) && entries != aCopy.objects.end() &&
                        entries->second.contains(fmt::format("i-{}", instance));
    // No VM has to know it that early.
    if (isLost && left && !IsStoreStable(*left) && Clock::now() < *left + kInForce)
      left.reset();
  }
}

void
Play::RemoveLapsed()
{
  if (storeAway_.empty() ||
      Clock::now() < storeAway_.back().until + kPeriodsToLapse * kReportPeriod)
    return;
  for (auto& [instance, left] : leftAt_) {
    const std::string name = fmt::format("i-{}", instance);
    if (!draining_.contains(instance) && store_.Contains("servers", name))
      store_.Delete("servers", name);
    if (!left)
      left = Clock::now();
  }
}

StandInStore::Copy
Play::CopyOfAge(Duration aAge)
{
  const auto isYounger = [limit = Clock::now() - aAge](const auto& aEntry) {
    return aEntry.first > limit;
  };
  const auto first = std::find_if(copies_.begin(), copies_.end(), isYounger);
  return first == copies_.begin() ? first->second : std::prev(first)->second;
}

void
Play::TakeStoreAway(const std::optional<StandInStore::Copy>& aCopy)
{
  if (aCopy)
    ForgetLostRemovals(*aCopy);
  storeAway_.push_back({ Clock::now(), Clock::time_point::max() });
  store_.GoAway();
  // Nothing is written meanwhile, as the lock is held.
  std::this_thread::sleep_for(kOutage);
  store_.Return(aCopy);
  storeAway_.back().until = Clock::now();
  if (!aCopy)
    return;
  copies_.clear();
  copies_.emplace_back(Clock::now(), *aCopy);
  WriteManifest();
  ReportAll();
}

void
Play::RestartVm(size_t aVm, int aSignal)
{
  {
    const std::scoped_lock lock(mutex_);
    std::vector<Span>& spans = vmAway_[aVm];
    if (!spans.empty() && spans.back().until == Clock::time_point::max())
      return;
    spans.push_back({ Clock::now(), Clock::time_point::max() });
  }
  fleet_.End(aVm, aSignal);
  std::this_thread::sleep_for(kRestartTime);
  fleet_.Start(aVm);
  const std::scoped_lock lock(mutex_);
  vmAway_[aVm].back().until = Clock::now();
}

void
Play::Apply(const Step& aStep)
{
  if (aStep.kind == Step::Kind::Kill || aStep.kind == Step::Kind::Terminate) {
    // Others go on while a VM stops.
    threads_.emplace_back([this, aStep] {
      RestartVm(aStep.index, aStep.kind == Step::Kind::Kill ? SIGKILL : SIGTERM);
      // A process ends with the thread that has started it (PR_SET_PDEATHSIG).
      while (!ends_)
        std::this_thread::sleep_for(kCallPeriod);
    });
    return;
  }
  const std::scoped_lock lock(mutex_);
  switch (aStep.kind) {
    case Step::Kind::Change:
      Confirm();
      break;
    case Step::Kind::Drain:
    case Step::Kind::Remove:
      Leave(aStep.index, aStep.kind == Step::Kind::Drain);
      break;
    case Step::Kind::Outage:
      TakeStoreAway(std::nullopt);
      break;
    default:
      TakeStoreAway(CopyOfAge(aStep.copyAge));
      break;
  }
}

void
Play::RunInstances()
{
  auto reportAt = Clock::now();
  while (!ends_) {
    std::this_thread::sleep_for(kCopyPeriod);
    const std::scoped_lock lock(mutex_);
    copies_.emplace_back(Clock::now(), store_.MakeCopy());
    if (copies_.size() > kMaxCopies)
      copies_.erase(copies_.begin());
    RemoveLapsed();
    if (Clock::now() < reportAt + kReportPeriod)
      continue;
    reportAt = Clock::now();
    ReportAll();
  }
}

void
Play::RunCaller(size_t aVm)
{
  for (unsigned i = 0; !ends_; ++i) {
    std::this_thread::sleep_for(kCallPeriod);
    Request request(http::verb::get, "/read/1", 11);
    request.set(http::field::host, "shop.example");
    request.set("X-Request-Id", fmt::format("{}-{}", aVm, i));
    request.set("X-Affinity-Key", std::to_string(i));
    request.set("X-Deadline-Ms", "1000");
    const auto sentAt = Clock::now();
    const auto answer = fleet_.SendTo(aVm, request);
    if (answer && answer->result() == http::status::ok)
      Judge(aVm, sentAt, answer->body().substr(answer->body().rfind('-') + 1));
  }
}

bool
Play::IsStoreStable(Clock::time_point aAt) const
{
  return IsUndisturbed(storeAway_, aAt);
}

bool
Play::IsInTouch(size_t aVm, Clock::time_point aAt) const
{
  const auto restarts = vmAway_.find(aVm);
  return IsStoreStable(aAt) && (restarts == vmAway_.end() || IsUndisturbed(restarts->second, aAt));
}

bool
Play::IsUndisturbed(const std::vector<Span>& aSpans, Clock::time_point aAt)
{
  return std::none_of(aSpans.begin(), aSpans.end(), [aAt](const Span& aSpan) {
    return aAt >= aSpan.from &&
           (aSpan.until == Clock::time_point::max() || aAt < aSpan.until + kSettleTime);
  });
}

void
Play::Judge(size_t aVm, Clock::time_point aSentAt, const std::string& aInstance)
{
  const size_t instance = std::stoul(aInstance);
  const std::scoped_lock lock(mutex_);
  if (!IsInTouch(aVm, aSentAt))
    return;
  ++servedCount_;
  lastServed_[aVm] = aSentAt;
  std::set<std::string> allowed;
  for (auto change = confirmations_.rbegin(); change != confirmations_.rend(); ++change) {
    allowed.insert(change->service);
    if (change->at + kInForce < aSentAt)
      break;
  }
  if (!allowed.contains(ServiceOf(instance)))
    ++brokenCounts_[fmt::format("vm-{}: served by an older manifest", aVm)];
  const auto left = leftAt_.find(instance);
  if (left != leftAt_.end() && left->second && *left->second + kInForce < aSentAt)
    ++brokenCounts_[fmt::format("vm-{}: used i-{}, which has left", aVm, instance)];
}

std::vector<std::string>
Play::Run(const std::vector<Step>& aSteps, Duration aEnd)
{
  threads_.emplace_back([this] { RunInstances(); });
  for (size_t i = 0; i < fleet_.Size(); ++i)
    threads_.emplace_back([this, i] { RunCaller(i); });
  const auto begin = Clock::now();
  for (const Step& step : aSteps) {
    std::this_thread::sleep_until(begin + step.at);
    Apply(step);
  }
  std::this_thread::sleep_until(begin + aEnd);
  const auto end = Clock::now();
  ends_ = true;
  for (std::thread& thread : threads_)
    thread.join();
  threads_.clear();
  std::vector<std::string> broken;
  for (const auto& [text, count] : brokenCounts_)
    broken.push_back(fmt::format("{}: {} of {} requests", text, count, servedCount_));
  for (size_t i = 0; i < fleet_.Size(); ++i) {
    const auto since = end - kServedWithin;
    if (IsInTouch(i, since) && lastServed_[i] < since)
      broken.push_back(fmt::format("vm-{}: served no request at the end", i));
  }
  return broken;
}

} // namespace dfm::test
