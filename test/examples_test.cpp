// Checks that the settings and rules of all sample deployments are valid.

#include "damaskward/Rules"
#include "damaskward/Settings"

#include <cppunit/extensions/HelperMacros.h>

#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>

namespace {

using namespace damaskward;

class examples_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(examples_test);
    CPPUNIT_TEST(sampleDeploymentsAreValid);
    CPPUNIT_TEST_SUITE_END();

    static std::string readFile(const std::filesystem::path &path)
    {
        std::ostringstream content;
        content << std::ifstream(path).rdbuf();
        return content.str();
    }

    template <typename Parsed>
    static void assertValid(const Parsed &parsedFile)
    {
        const std::string firstDiagnostic =
            parsedFile.ok() ? "" : toString(parsedFile.mistakes.front());
        CPPUNIT_ASSERT_MESSAGE(firstDiagnostic, parsedFile.ok());
    }

    void sampleDeploymentsAreValid()
    {
        for (const char *name : {"quickstart", "registry", "sukanal"}) {
            const std::filesystem::path folder =
                std::filesystem::path(DAMASKWARD_SOURCE) / "examples" / name;
            const auto rules = parseRules(readFile(folder / "rules.txt"), name);
            assertValid(rules);
            std::set<std::string> vms;
            for (const auto &file : std::filesystem::directory_iterator(folder)) {
                if (file.path().extension() == ".json") {
                    const auto settings =
                        parseSettings(readFile(file.path()), file.path().string());
                    assertValid(settings);
                    CPPUNIT_ASSERT(rules.value.dataCenters.count(settings.value.dataCenter) == 1);
                    CPPUNIT_ASSERT(vms.insert(settings.value.vm.str()).second);
                }
            }
            CPPUNIT_ASSERT(vms.size() >= 3);
        }
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(examples_test, "examples");
CPPUNIT_REGISTRY_ADD_TO_DEFAULT("examples");

} // namespace
