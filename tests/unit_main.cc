// Runs the CppUnit tests or suites named as arguments, or all of them without arguments. The last
// line of output is "N passed, N failed".

#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <csignal>
#include <iostream>
#include <stdexcept>

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  CppUnit::TestResult controller;
  CppUnit::TestResultCollector collector;
  CppUnit::BriefTestProgressListener progress;
  controller.addListener(&collector);
  controller.addListener(&progress);

  CppUnit::TestRunner runner;
  runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
  try {
    if (argc == 1) runner.run(controller);
    for (int i = 1; i < argc; ++i) runner.run(controller, argv[i]);
  } catch (const std::invalid_argument& e) {
    std::cerr << "no such test or suite: " << e.what() << "\n";
    return 2;
  }
  CppUnit::CompilerOutputter(&collector, std::cerr).write();
  const int failed = collector.testFailuresTotal();
  const int passed = collector.runTests() - failed;
  std::cout << passed << " passed, " << failed << " failed" << std::endl;
  if (collector.runTests() == 0) return 1;
  return failed == 0 ? 0 : 1;
}
