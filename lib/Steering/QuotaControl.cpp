#include "dragonflymoor/Steering/Dispatcher.h"

namespace dfm {

void
Dispatcher::UpdateQuotas(TimePoint aNow)
{
  std::map<uint32_t, Quota> quotas;
  if (view_->routes != nullptr) {
    for (const Workspace& workspace : view_->routes->GetManifest().workspaces) {
      if (workspace.requestsPerSecond <= 0)
        continue;
      const Quota quota{ .requestsPerSecond = workspace.requestsPerSecond,
                         .burst = workspace.burst };
      const auto [entry, isNew] = quotas.emplace(QuotaKeyOf(workspace.id), quota);
      if (!isNew && quota.requestsPerSecond < entry->second.requestsPerSecond)
        entry->second = quota;
    }
  }
  quotas_.SetQuotas(aNow, quotas);
  quotas_.SetVmCount(view_->knownVms.size());
  std::set<LoadSource> known;
  for (const Vm& vm : view_->knownVms) {
    known.insert(vm.id);
    known.insert(vm.failureDomain);
  }
  quotas_.ForgetSourcesExcept(aNow, known);
}

bool
Dispatcher::TakeQuota(TimePoint aNow, Ticket aTicket, Request& aRequest)
{
  if (aRequest.spec.workspace == nullptr)
    return true;
  const uint32_t workspace = QuotaKeyOf(aRequest.spec.workspace->id);
  const QuotaDecision decision = quotas_.TryTake(aNow, workspace);
  if (decision.admitted) {
    aRequest.quota = workspace;
    return true;
  }
  const RequestRefusal refusal{ .reason = RefusalReason::Quota,
                                .retryAfter = decision.retryAfter,
                                .service = aRequest.service,
                                .quota = decision };
  requests_.erase(aTicket);
  hooks_.refuseRequest(aTicket, refusal);
  return false;
}

std::optional<QuotaReport>
Dispatcher::ReportQuotas(TimePoint aNow, bool aOfDomain) const
{
  if (!quotas_.HasQuotas())
    return std::nullopt;
  return aOfDomain ? quotas_.DomainReport(aNow) : quotas_.OwnReport(aNow);
}

} // namespace dfm
