#ifndef DRAGONFLYMOOR_NET_PLATFORMCLIENT_H
#define DRAGONFLYMOOR_NET_PLATFORMCLIENT_H

#include "dragonflymoor/Engine/Engine.h"
#include "dragonflymoor/Net/HttpPool.h"
#include <functional>
#include <string_view>

namespace dfm {

/// Client of the platform's object store and of its list of VMs. Belongs to the thread of its pool.
class PlatformClient
{
public:
  PlatformClient(HttpPool& aPool, Endpoint aStore);

  /// Carries a call out; aDone is called exactly once, on this thread. A call other than Watch ends
  /// with NoAnswer after 2 s.
  void Call(StoreCall aCall, std::function<void(StoreResult)> aDone);

  /// Empty when the platform gave no valid answer within 2 s.
  void ListVms(std::function<void(std::optional<std::vector<PlatformVm>>)> aDone);

private:
  asio::awaitable<StoreResult> Run(StoreCall aCall);
  asio::awaitable<std::optional<std::vector<PlatformVm>>> RunListVms();

  HttpPool& pool_;
  Endpoint store_;
};

/// Reads the platform's list of VMs; empty when any part of it is malformed.
std::optional<std::vector<PlatformVm>>
ParseVmList(std::string_view aJson);

} // namespace dfm

#endif
