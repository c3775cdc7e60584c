#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>
#include <CppUTest/TestRegistry.h>

int main(int count, char** words) {
  // Libraries hold allocations until the process exits, which CppUTest would report as leaks; the
  // sanitizer build detects real ones.
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  return CommandLineTestRunner::RunAllTests(count, words);
}
