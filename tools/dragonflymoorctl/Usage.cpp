#include "Commands.h"

namespace dfm {

const char* const kUsage =
  "usage: dragonflymoorctl --store IP:PORT [--operators IP:PORT,...] COMMAND\n"
  "  list                                  names, versions and sizes of all lists\n"
  "  show LIST [ELEMENT]                   text of a list, or one element of it\n"
  "  set plans PLAN workspace=W weight=N   add or change a plan\n"
  "  set limits PLAN/SERVICE requestsPerSecond=R maxInFlight=N\n"
  "  set plans|limits ELEMENT --remove     remove an element\n"
  "  edit LIST --file FILE                 replace a list; FILE - is standard input\n"
  "  drain add TARGET NAME [--starts-at T] [--wait]\n"
  "  drain list\n"
  "  drain cancel TARGET NAME\n"
  "  drain watch [TARGET NAME]\n"
  "  status                                members, regions, links and pools\n"
  "  check [MANIFEST] [--settings FILE] [--against FILE] [--json] [--strict]\n"
  "                                        findings about a manifest of the platform\n"
  "LIST is plans, limits, drains, services, backends, links or roster.\n"
  "TARGET is backend-server, vm or failure-domain.\n"
  "--dry-run shows the difference and writes nothing. --output json gives JSON.\n";

} // namespace dfm
