#include "src/settings/settings.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <map>

namespace cowsliphill {
namespace {

using std::chrono::milliseconds;

class SettingsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SettingsTest);
  CPPUNIT_TEST(Settings_WithOnlyAFailureDomain_HaveDefaults);
  CPPUNIT_TEST(Settings_OfThePlatformWithFractionalBounds_AreRead);
  CPPUNIT_TEST(Settings_WithBoundsOfWorkspaceLimits_AreRead);
  CPPUNIT_TEST(Settings_WithUnknownKey_NameFileLineAndKey);
  CPPUNIT_TEST(Settings_WithPortOutOfRange_NameFoundAndAllowed);
  CPPUNIT_TEST(Settings_WithSyntaxError_NameTheLine);
  CPPUNIT_TEST(Settings_AdminBeyondLoopbackWithoutToken_AreRejected);
  CPPUNIT_TEST(Settings_HostNameInsteadOfIp_AreRejected);
  CPPUNIT_TEST(Settings_BackendSourceThatIsNoIpNumber_AreRejected);
  CPPUNIT_TEST(Settings_WithMalformedTableHeader_NameTheLine);
  CPPUNIT_TEST(Settings_WithoutFailureDomain_AreRejected);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Settings_WithOnlyAFailureDomain_HaveDefaults() {
    const auto result = ParseSettings("place = \"riga-centrs\"\n", "s.toml");
    CPPUNIT_ASSERT(Ok(result));
    CPPUNIT_ASSERT(ValueOf(result).platform.kind == PlatformKind::kMemory);
    CPPUNIT_ASSERT_EQUAL(std::string("riga-centrs"), ValueOf(result).region.Text());
  }

  // Regression: the platform's template made settings that were rejected of a bound with a
  // fraction.
  void Settings_OfThePlatformWithFractionalBounds_AreRead() {
    const auto root = std::filesystem::path(__FILE__).parent_path().parent_path().parent_path();
    std::ifstream file(root / "platform/entry.toml");
    std::map<std::string, std::string> lines;  // By key.
    for (std::string line; std::getline(file, line);) lines[line.substr(0, line.find(' '))] = line;
    const auto fill = [](std::string line, const std::string& value) {
      const size_t begin = line.find("{{");
      return line.replace(begin, line.rfind("}}") + 2 - begin, value) + "\n";
    };
    const std::pair<std::string, milliseconds> bounds[] = {
        {"6", milliseconds(6000)}, {"6.5", milliseconds(6500)}, {"0.25", milliseconds(250)}};
    for (const auto& [text, expected] : bounds) {
      const auto result = ParseSettings("place = \"a\"\n" + fill(lines["stop_timeout_ms"], text) +
                                            "[retries]\n" + fill(lines["window_ms"], text),
                                        "s.toml");
      CPPUNIT_ASSERT_MESSAGE(text, Ok(result));
      CPPUNIT_ASSERT(ValueOf(result).stop_timeout == expected);
      CPPUNIT_ASSERT(ValueOf(result).retries.window == expected);
    }
  }

  // Guards against bounds on the limits of workspaces that are read but not applied, or rejected.
  void Settings_WithBoundsOfWorkspaceLimits_AreRead() {
    const auto result = ParseSettings(
        "place = \"a\"\n[workspace_limits]\nwindow_ms = 2.5e3\noverrun = 0.25\nslack = 7\n",
        "s.toml");
    CPPUNIT_ASSERT(Ok(result));
    CPPUNIT_ASSERT(ValueOf(result).workspace_limits.window == milliseconds(2500));
    CPPUNIT_ASSERT_EQUAL(0.25, ValueOf(result).workspace_limits.overrun);
    CPPUNIT_ASSERT_EQUAL(7.0, ValueOf(result).workspace_limits.slack);
    const Issue issue = OnlyIssue("place = \"a\"\n[workspace_limits]\noverrun = -1\n");
    CPPUNIT_ASSERT_EQUAL(std::string("workspace_limits.overrun"), issue.key);
  }

  void Settings_WithUnknownKey_NameFileLineAndKey() {
    const Issue issue = OnlyIssue("place = \"a\"\n[edge]\nlisten_on = \"127.0.0.1:1\"\n");
    CPPUNIT_ASSERT_EQUAL(std::string("s.toml"), issue.file);
    CPPUNIT_ASSERT_EQUAL(size_t{3}, issue.line);
    CPPUNIT_ASSERT_EQUAL(std::string("edge.listen_on"), issue.key);
  }

  void Settings_WithPortOutOfRange_NameFoundAndAllowed() {
    const Issue issue = OnlyIssue("place = \"a\"\n[edge]\nlisten = \"127.0.0.1:70000\"\n");
    CPPUNIT_ASSERT_EQUAL(std::string("\"127.0.0.1:70000\""), issue.found);
    CPPUNIT_ASSERT(issue.allowed.find("IP-NUMBER:PORT") != std::string::npos);
  }

  void Settings_WithSyntaxError_NameTheLine() {
    CPPUNIT_ASSERT_EQUAL(size_t{2}, OnlyIssue("place = \"a\"\n[edge\n").line);
  }

  void Settings_AdminBeyondLoopbackWithoutToken_AreRejected() {
    const Issue issue = OnlyIssue("place = \"a\"\n[admin]\nlisten = \"0.0.0.0:1\"\n");
    CPPUNIT_ASSERT_EQUAL(std::string("admin.listen"), issue.key);
  }

  void Settings_HostNameInsteadOfIp_AreRejected() {
    const Issue issue = OnlyIssue("place = \"a\"\n[edge]\nlisten = \"localhost:80\"\n");
    CPPUNIT_ASSERT_EQUAL(std::string("edge.listen"), issue.key);
  }

  void Settings_BackendSourceThatIsNoIpNumber_AreRejected() {
    const Issue issue = OnlyIssue("place = \"a\"\n[backend]\nsource = \"eth0\"\n");
    CPPUNIT_ASSERT_EQUAL(std::string("backend.source"), issue.key);
    CPPUNIT_ASSERT(Ok(ParseSettings("place = \"a\"\n[backend]\nsource = \"10.0.0.5\"\n", "s")));
  }

  void Settings_WithMalformedTableHeader_NameTheLine() {
    for (const char* header : {"[\x01a]", "[.a]", "[[[a]]]"}) {
      const std::string text = std::string("place = \"a\"\n") + header + "\n[edge]\n";
      CPPUNIT_ASSERT_EQUAL_MESSAGE(header, size_t{2}, OnlyIssue(text).line);
    }
  }

  void Settings_WithoutFailureDomain_AreRejected() {
    CPPUNIT_ASSERT_EQUAL(std::string("place"), OnlyIssue("").key);
  }

 private:
  static Issue OnlyIssue(const std::string& text) {
    const auto result = ParseSettings(text, "s.toml");
    CPPUNIT_ASSERT(!Ok(result));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, ErrorOf(result).size());
    return ErrorOf(result).front();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsTest);

}  // namespace
}  // namespace cowsliphill
