#include "tools/dragonflymoorctl/CheckCommand.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <filesystem>
#include <fstream>
#include <unistd.h>

namespace {

using namespace dfm;

const std::string kValid = R"({"version": "1", "routes": [], "services": []})";
const std::string kUnused =
  R"({"version": "2", "routes": [], "services": [{"name": "s", "health_path": "/"}]})";

/// Directory for the files of one test; removed with them.
class TestFiles
{
public:
  TestFiles()
    : directory_(std::filesystem::temp_directory_path() /
                 ("dragonflymoor-check-" + std::to_string(::getpid())))
  {
    std::filesystem::create_directories(directory_);
  }
  ~TestFiles() { std::filesystem::remove_all(directory_); }
  TestFiles(const TestFiles&) = delete;
  TestFiles& operator=(const TestFiles&) = delete;

  std::string Write(const std::string& aName, const std::string& aText) const
  {
    std::ofstream(directory_ / aName) << aText;
    return directory_ / aName;
  }
  std::string Directory() const { return directory_; }

private:
  std::filesystem::path directory_;
};

struct ExitRow
{
  CheckArguments arguments;
  int exitCode;
};

/// Guards against a script that puts a manifest with errors into force, or stops at warnings that
/// it did not ask for.
Test(CheckCommand, ExitsByTheWorstFinding)
{
  const TestFiles files;
  const std::string valid = files.Write("valid.json", kValid);
  const std::string unused = files.Write("unused.json", kUnused);
  const std::string broken = files.Write("broken.json", "{");
  const std::string missing = files.Directory() + "/missing.json";
  const ExitRow kRows[] = {
    { { .manifest = valid }, 0 },
    { { .manifest = valid, .json = true, .strict = true }, 0 },
    { { .manifest = unused }, 0 },
    { { .manifest = unused, .strict = true }, 1 },
    { { .manifest = unused, .neededRates = "s=2,t=0.5" }, 0 },
    { { .manifest = unused, .neededRates = "s=2,t" }, 2 },
    { { .manifest = broken }, 2 },
    { { .manifest = broken, .json = true, .strict = true }, 2 },
    { { .manifest = missing }, 2 },
    { { .manifest = files.Directory() }, 2 },
    { { .manifest = valid, .settings = missing }, 2 },
    { { .manifest = valid, .settings = valid }, 2 },
    { { .manifest = unused, .against = valid }, 0 },
    { { .manifest = valid, .against = unused }, 2 },
    { { .manifest = valid, .against = broken }, 2 },
    { { .manifest = valid, .against = missing }, 2 },
  };
  for (const ExitRow& row : kRows) {
    const CheckArguments& arguments = row.arguments;
    cr_expect(RunCheck(arguments) == row.exitCode,
              "%s %s %s",
              arguments.manifest.c_str(),
              arguments.against.c_str(),
              arguments.neededRates.c_str());
  }
}

} // namespace
