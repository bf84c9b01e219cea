#ifndef DRAGONFLYMOOR_LIB_MODEL_LISTREADER_H
#define DRAGONFLYMOOR_LIB_MODEL_LISTREADER_H

#include "dragonflymoor/Model/Fleet.h"
#include "dragonflymoor/Support/Finding.h"
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace dfm {

/// Findings with a bound, so that a broken list of many elements gives a readable message.
class FindingSink
{
public:
  static constexpr size_t kMaxFindings = 100;

  void Add(std::string aPlace, std::string aMessage);
  bool Empty() const { return findings_.empty(); }
  Findings Take(std::string_view aPlace);

private:
  Findings findings_;
  size_t dropped_ = 0;
};

/// Reads the fields of one element of a list and collects what is wrong with them. Each reading
/// function returns a default value after a finding.
class ElementReader
{
public:
  ElementReader(const boost::json::object& aObject, std::string aPlace, FindingSink& aSink)
    : object_(aObject)
    , place_(std::move(aPlace))
    , sink_(aSink)
  {
  }

  bool Has(std::string_view aField) const { return object_.contains(aField); }
  /// A name of 1 to 64 letters, digits, '-', '_' or, when allowed, '.'.
  std::string Name(std::string_view aField, bool aDotAllowed = true);
  uint64_t Integer(std::string_view aField, uint64_t aLow, uint64_t aHigh);
  double Number(std::string_view aField, double aLow, double aHigh);
  bool Boolean(std::string_view aField);
  /// "ip:port" with IPv4, or "[ip]:port" with IPv6.
  Endpoint Address(std::string_view aField);
  std::string Text(std::string_view aField);
  std::vector<uint64_t> Integers(std::string_view aField, size_t aCount, uint64_t aHigh);
  void Fail(std::string_view aField, std::string aMessage);
  /// Reports fields that were not asked for; call it last.
  void RejectUnknownFields();

private:
  const boost::json::value* Find(std::string_view aField);

  const boost::json::object& object_;
  std::string place_;
  FindingSink& sink_;
  std::vector<std::string_view> known_;
};

} // namespace dfm

#endif
