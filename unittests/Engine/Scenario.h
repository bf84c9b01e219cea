#ifndef DRAGONFLYMOOR_UNITTESTS_ENGINE_SCENARIO_H
#define DRAGONFLYMOOR_UNITTESTS_ENGINE_SCENARIO_H

#include "FakeFleet.h"
#include <string>
#include <vector>

namespace dfm::test {

/// Faults that a scenario may cause; combined as a bit set.
enum Fault : unsigned
{
  kNoFault = 0,
  kKill = 1,
  kFreeze = 2,
  kCut = 4,
  kStoreDown = 8,
  kLostAnswers = 16,
  kPoison = 32,
  kServerCrash = 64,
  kStop = 128,
  kEdits = 256,
  kFlood = 512,
  kAbandon = 1024,
};

/// Runs a fleet under load and random faults, and checks all invariants of the design against a
/// simple oracle.
class Scenario
{
public:
  Scenario(uint64_t aSeed, unsigned aFaults);

  /// Returns what was violated; empty when everything held.
  std::vector<std::string> Run();

private:
  struct OrderTry
  {
    RequestHead head;
    std::vector<size_t> copies;
    bool decided = false;
  };

  void Step();
  void SendLoad();
  void ResendOrders();
  void CauseFault();
  void KillSome();
  void StopSome();
  void EditSome();
  void Observe();
  void Heal();
  void CheckRequests();
  void CheckOrders();
  void CheckServers();
  void CheckLists();
  void Fail(std::string aWhat) { violations_.push_back(std::move(aWhat)); }
  bool Has(Fault aFault) const { return (faults_ & aFault) != 0; }
  size_t AnyVm();
  size_t UpCount() const;

  unsigned faults_;
  Random random_;
  FakeFleet fleet_;
  std::vector<OrderTry> orders_;
  std::vector<std::array<ListVersion, kListCount>> seen_; ///< Highest versions in force, by VM.
  std::vector<size_t> stopping_;
  ListVersion written_ = 1;
  std::vector<std::string> violations_;
};

} // namespace dfm::test

#endif
