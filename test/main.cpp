// Runs the suite named by the first argument, or all suites.

#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/TextTestProgressListener.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <iostream>

int main(int argc, char **argv)
{
    CppUnit::TestResult controller;
    CppUnit::TestResultCollector results;
    controller.addListener(&results);
    CppUnit::TextTestProgressListener progress;
    controller.addListener(&progress);
    CppUnit::TestRunner runner;
    runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
    runner.run(controller, argc > 1 ? argv[1] : "");
    CppUnit::CompilerOutputter(&results, std::cerr).write();
    return results.wasSuccessful() && results.runTests() > 0 ? 0 : 1;
}
