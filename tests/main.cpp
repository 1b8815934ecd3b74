// Runs all tests and prints "N passed, N failed" as the last line.
#include "base/log.hpp"

#include <cstdlib>
#include <iostream>

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>
#include <CppUTest/TestOutput.h>
#include <CppUTest/TestRegistry.h>
#include <CppUTest/TestResult.h>

namespace
{

// Prints the closing line, which CI parses.
class counting_output : public ConsoleTestOutput
{
public:
    void printTestsEnded(const TestResult& result) override
    {
        ConsoleTestOutput::printTestsEnded(result);
        const auto failed = result.getFailureCount();
        std::cout << result.getRunCount() - failed << " passed, " << failed
                  << " failed" << std::endl;
    }
};

class counting_runner : public CommandLineTestRunner
{
public:
    using CommandLineTestRunner::CommandLineTestRunner;

protected:
    TestOutput* createConsoleOutput() override
    {
        return new counting_output;
    }
};

} // namespace

int main(int argc, char** argv)
{
    // Tests with injected faults log many expected warnings.
    if (std::getenv("POPLARRAMP_TEST_LOG") == nullptr)
    {
        poplarramp::set_log_level(poplarramp::log_level::error);
    }
    // CppUTest's leak detection is not thread safe; AddressSanitizer finds
    // leaks instead.
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    counting_runner runner(argc, argv, TestRegistry::getCurrentRegistry());
    return runner.runAllTestsMain();
}
