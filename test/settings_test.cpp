// Tests the settings parser: accepted settings, and the line and field of each diagnostic.

#include "damaskward/Settings"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace damaskward;

const char *const validSettings = R"({
// A comment.
"vm": "vm-1", "data_center": "a",
"caller_address": "127.0.0.1:8080", "control_address": "127.0.0.1:8081",
"admin_address": "127.0.0.1:8082", "platform": "http://127.0.0.1:7000",
"secret": "long enough",
"timing": { "session_ms": 900, "renew_every_ms": 200 },
"log": { "level": "warn", "json": true }
})";

class settings_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(settings_test);
    CPPUNIT_TEST(acceptsComments);
    CPPUNIT_TEST(reportsEachErrorWithItsLine);
    CPPUNIT_TEST_SUITE_END();

    struct invalid_settings
    {
        const char *from;
        const char *to;
        int line;
        const char *field;
    };

    void acceptsComments()
    {
        const parsed<vm_settings> settings = parseSettings(validSettings, "s");
        CPPUNIT_ASSERT_MESSAGE(settings.ok() ? "" : toString(settings.mistakes[0]), settings.ok());
        CPPUNIT_ASSERT_EQUAL(std::string("vm-1"), settings.value.vm.str());
        CPPUNIT_ASSERT(milliseconds(900) == settings.value.timing.session);
        CPPUNIT_ASSERT(settings.value.log.json);
    }

    void reportsEachErrorWithItsLine()
    {
        static const invalid_settings cases[] = {
            {"\"vm\": \"vm-1\", ", "", 1, "vm"},
            {"\"vm-1\"", "7", 3, "vm"},
            {"\"data_center\": \"a\",", "", 1, "data_center"},
            {"\"127.0.0.1:8080\"", "\"localhost:8080\"", 4, "caller_address"},
            {"\"127.0.0.1:8080\"", "\"127.0.0.999:80\"", 4, "caller_address"},
            {"\"127.0.0.1:8081\"", "\"127.0.0.1:99999\"", 4, "control_address"},
            {"\"127.0.0.1:8082\"", "\"\"", 5, "admin_address"},
            {"http://127", "ftp://127", 5, "platform"},
            {"\"long enough\"", "\"short\"", 6, "secret"},
            {"\"long enough\"", "null", 1, "secret"},
            {"900", "\"900\"", 7, "timing.session_ms"},
            {"900", "0", 7, "timing.session_ms"},
            {"900", "100", 7, "timing.renew_every_ms"},
            {"renew_every_ms", "renew_evry_ms", 7, "timing.renew_evry_ms"},
            {"\"warn\"", "\"loud\"", 8, "log.level"},
            {"true", "1", 8, "log.json"},
            {"\"log\": { \"level\": \"warn\", \"json\": true }", "\"log\": 3", 8, "log"},
            {"\"secret\"", "\"threads\": 1, \"secret\"", 6, "threads"},
            {"\"secret\"", "\"limits\": {\"max_body_bytes\": -1}, \"secret\"", 6,
             "limits.max_body_bytes"},
            {"\"secret\"", "\"colour\": 1, \"secret\"", 6, "colour"},
            {"\"vm\": \"vm-1\"", "\"vm\": \"vm-1\" \"x\"", 3, "document"},
        };
        for (const invalid_settings &invalid : cases) {
            std::string text = validSettings;
            text.replace(text.find(invalid.from), std::string(invalid.from).size(), invalid.to);
            const parsed<vm_settings> settings = parseSettings(text, "s");
            CPPUNIT_ASSERT_MESSAGE(text, !settings.ok());
            const diagnostic &first = settings.mistakes.front();
            CPPUNIT_ASSERT_EQUAL_MESSAGE(toString(first), std::string(invalid.field), first.field);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(toString(first), invalid.line, first.line);
        }
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(settings_test, "settings");
CPPUNIT_REGISTRY_ADD_TO_DEFAULT("settings");

} // namespace
