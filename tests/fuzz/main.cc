// Runs the fuzz targets on their corpus and on mutations of it. The same seed and count produce the
// same inputs on every machine.
#include <signal.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <boost/program_options.hpp>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>
#include <unordered_set>

#include "tests/fuzz/mutator.h"
#include "tests/fuzz/targets.h"

#if defined(__SANITIZE_ADDRESS__)
#include <sanitizer/common_interface_defs.h>
// g++ ships without the header that declares these, although its sanitizer runtime defines them.
extern "C" {
std::size_t __sanitizer_get_current_allocated_bytes();
int __sanitizer_install_malloc_and_free_hooks(void (*onMalloc)(const volatile void*, std::size_t),
                                              void (*onFree)(const volatile void*));
}
#endif

namespace peppergate::fuzz {
namespace {

namespace fs = std::filesystem;
namespace options = boost::program_options;

constexpr std::size_t kMaxAddedInputs = 4000;           // inputs added to a corpus in one run
constexpr std::size_t kMaxAddedInputBytes = 16U << 10;  // bytes; longer inputs aren't added
constexpr std::size_t kMaxAllocationBytes = 64U << 20;
constexpr std::size_t kMaxAllocatedBytes = 256U << 20;  // bytes that one run may allocate
constexpr time_t kRunTimeLimitSeconds = 10;

struct Options {
  fs::path corpus, failed;
  std::string target, input;
  std::uint64_t seed = 1, runs = 1000;
  double seconds = 0;  // per target; 0: `runs` decides
};

// ---- saving the failing input ----

std::string currentInput;
std::string failedPath;

/// Called by a signal handler or a sanitizer: saves the input of the current run.
void saveFailingInput() {
  static volatile sig_atomic_t saved = 0;
  if (saved != 0 || failedPath.empty()) return;
  saved = 1;
  std::ofstream(failedPath, std::ios::binary) << currentInput;
  std::cerr << "the failing input is in " << failedPath << "\n";
}

void onSignal(int signal) {
  saveFailingInput();
  if (signal == SIGVTALRM) std::cerr << "a run exceeded its time limit\n";
  ::signal(signal, SIG_DFL);
  raise(signal == SIGVTALRM ? SIGABRT : signal);
}

#if defined(__SANITIZE_ADDRESS__)
std::size_t allocatedBefore = 0;
bool measuring = false;

void onAllocation(const volatile void*, std::size_t size) {
  constexpr std::size_t kNotable = 64U << 10;
  if (!measuring || size < kNotable) return;
  std::size_t now = __sanitizer_get_current_allocated_bytes();
  if (size <= kMaxAllocationBytes && now <= allocatedBefore + kMaxAllocatedBytes) return;
  measuring = false;
  require(false, "memory in proportion to the input");
}
void onFree(const volatile void*) {}

void startMeasuring() {
  allocatedBefore = __sanitizer_get_current_allocated_bytes();
  measuring = true;
}
void stopMeasuring() { measuring = false; }
#else
void startMeasuring() {}
void stopMeasuring() {}
#endif

void watchForFailures() {
  for (int signal : {SIGABRT, SIGVTALRM}) ::signal(signal, &onSignal);
#if defined(__SANITIZE_ADDRESS__)
  __sanitizer_set_death_callback(&saveFailingInput);
  __sanitizer_install_malloc_and_free_hooks(&onAllocation, &onFree);
#else
  for (int signal : {SIGSEGV, SIGBUS, SIGFPE, SIGILL}) ::signal(signal, &onSignal);
#endif
}

/// Runs one input, with a limit on the process's CPU time.
std::uint64_t runOnce(const Target& target, std::string input) {
  currentInput = std::move(input);
  itimerval limit{{0, 0}, {kRunTimeLimitSeconds, 0}};
  setitimer(ITIMER_VIRTUAL, &limit, nullptr);
  startMeasuring();
  std::uint64_t outcome = target.run(currentInput);
  stopMeasuring();
  return outcome;
}

// ---- a target ----

std::string readFile(const fs::path& path) {
  std::ifstream file(path, std::ios::binary);
  std::stringstream content;
  content << file.rdbuf();
  return content.str();
}

std::vector<std::string> readCorpus(const fs::path& folder) {
  std::vector<fs::path> paths;
  std::error_code error;
  for (const auto& entry : fs::directory_iterator(folder, error)) paths.push_back(entry.path());
  std::ranges::sort(paths);
  std::vector<std::string> corpus;
  for (const auto& path : paths) corpus.push_back(readFile(path));
  return corpus;
}

/// Runs the corpus unchanged, then mutations of it and of inputs with new outcomes. Returns false
/// if there is no corpus.
bool runTarget(const Target& target, const Options& parsedOptions) {
  auto corpus = readCorpus(parsedOptions.corpus / target.name);
  if (corpus.empty()) {
    std::cerr << "no corpus for " << target.name << " in " << parsedOptions.corpus << "\n";
    return false;
  }
  std::size_t fileCount = corpus.size();
  std::unordered_set<std::uint64_t> outcomes;
  for (const auto& input : corpus) outcomes.insert(runOnce(target, input));
  Mutator mutator(parsedOptions.seed, target.dictionary);
  auto deadline =
      std::chrono::steady_clock::now() + std::chrono::duration<double>(parsedOptions.seconds);
  std::uint64_t runs = 0;
  auto shouldContinue = [&] {
    if (parsedOptions.seconds <= 0) return runs < parsedOptions.runs;
    return runs % 16 != 0 || std::chrono::steady_clock::now() < deadline;
  };
  for (; shouldContinue(); ++runs) {
    std::uint64_t outcome = runOnce(target, mutator.next(corpus));
    bool newOutcome =
        outcomes.insert(outcome).second && corpus.size() < fileCount + kMaxAddedInputs;
    if (newOutcome && currentInput.size() <= kMaxAddedInputBytes) corpus.push_back(currentInput);
  }
  std::cout << target.name << ": " << fileCount << " corpus files, " << runs << " mutations, "
            << outcomes.size() << " outcomes" << std::endl;
  return true;
}

int run(const Options& parsedOptions) {
  std::uint64_t passed = 0, failed = 0;
  for (const Target& target : allTargets()) {
    if (!parsedOptions.target.empty() && target.name != parsedOptions.target) continue;
    failedPath = (parsedOptions.failed / ("failed-" + std::string(target.name))).string();
    if (!parsedOptions.input.empty()) {
      failedPath.clear();
      runOnce(target, readFile(parsedOptions.input));
      ++passed;
    } else {
      ++(runTarget(target, parsedOptions) ? passed : failed);
    }
  }
  std::cout << passed << " passed, " << failed << " failed\n";
  return failed == 0 && passed > 0 ? 0 : 1;
}

int runCommand(int count, char** arguments) {
  Options parsedOptions;
  options::options_description description("peppergate_fuzz");
  auto add = description.add_options();
  add("help", "prints this");
  add("corpus", options::value(&parsedOptions.corpus)->default_value("tests/corpus"),
      "corpus folder");
  add("failed", options::value(&parsedOptions.failed)->default_value("."),
      "folder for failing inputs");
  add("target", options::value(&parsedOptions.target), "one target instead of all");
  add("input", options::value(&parsedOptions.input), "one file to run, without mutations");
  add("seed", options::value(&parsedOptions.seed)->default_value(parsedOptions.seed),
      "seed of the mutations");
  add("runs", options::value(&parsedOptions.runs)->default_value(parsedOptions.runs),
      "mutations per target");
  add("seconds", options::value(&parsedOptions.seconds)->default_value(0),
      "time per target, instead of a count");
  options::variables_map variables;
  try {
    options::store(options::parse_command_line(count, arguments, description), variables);
    options::notify(variables);
  } catch (const options::error& error) {
    std::cerr << error.what() << "\n";
    return 2;
  }
  if (variables.contains("help")) {
    std::cout << description;
    return 0;
  }
  watchForFailures();
  return run(parsedOptions);
}

}  // namespace
}  // namespace peppergate::fuzz

int main(int count, char** arguments) { return peppergate::fuzz::runCommand(count, arguments); }
