#include "src/manifest/manifest_format.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>

#include "src/settings/settings.h"

namespace cowsliphill {
namespace {

constexpr char kManifest[] = R"([[place]]
id = "riga-centrs"
region = "latvia"
[[team]]
id = "statistics"
services = ["tables"]
[[service]]
id = "tables"
owner = "statistics"
probe_budget_per_second = 0.5
emergency_tenants = ["council"]
[[backend_server]]
id = "t2"
service = "tables"
place = "riga-centrs"
endpoint = "192.0.2.2:80"
state = "leaving"
[[backend_server]]
id = "t1"
service = "tables"
place = "riga-centrs"
endpoint = "[2001:db8::1]:80"
)";

std::string Replaced(std::string text, const std::string& from, const std::string& to) {
  const size_t at = text.find(from);
  CPPUNIT_ASSERT_MESSAGE("the manifest of the test does not contain " + from,
                         at != std::string::npos);
  return text.replace(at, from.size(), to);
}

class ManifestFormatTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ManifestFormatTest);
  CPPUNIT_TEST(Manifest_FormattedAndParsed_IsUnchanged);
  CPPUNIT_TEST(Manifest_Parsed_IsSortedById);
  CPPUNIT_TEST(Manifest_WithUnknownFailureDomain_IssueHasLineAndKey);
  CPPUNIT_TEST(Manifest_WithUnknownOwner_IsRejected);
  CPPUNIT_TEST(Manifest_WithDuplicateId_IsRejected);
  CPPUNIT_TEST(Manifest_WithDuplicateEndpointInService_IsRejected);
  CPPUNIT_TEST(Manifest_ServiceWithoutActiveServer_NeedsAllowEmpty);
  CPPUNIT_TEST(Manifest_WithProbeBudgetsAboveLimit_IsRejected);
  CPPUNIT_TEST(Manifest_WithDefaultDeadlineAboveMaximum_IsRejected);
  CPPUNIT_TEST(Manifest_WithUnknownKey_IsRejected);
  CPPUNIT_TEST(Examples_InRepository_AreValid);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Manifest_FormattedAndParsed_IsUnchanged() {
    const Manifest first = Parsed(kManifest);
    const Manifest second = Parsed(FormatManifest(first));
    CPPUNIT_ASSERT(first.failure_domains == second.failure_domains);
    CPPUNIT_ASSERT(first.teams == second.teams);
    CPPUNIT_ASSERT(first.services == second.services);
    CPPUNIT_ASSERT(first.backend_servers == second.backend_servers);
    CPPUNIT_ASSERT(first.entry == second.entry);
  }

  void Manifest_Parsed_IsSortedById() {
    const Manifest manifest = Parsed(kManifest);
    CPPUNIT_ASSERT_EQUAL(std::string("t1"), manifest.backend_servers.front().id.Text());
    CPPUNIT_ASSERT(manifest.backend_servers.back().state == BackendState::kLeaving);
  }

  void Manifest_WithUnknownFailureDomain_IssueHasLineAndKey() {
    const Issue issue =
        OnlyIssue(Replaced(kManifest, "place = \"riga-centrs\"", "place = \"jelgava\""));
    CPPUNIT_ASSERT_EQUAL(size_t{15}, issue.line);
    CPPUNIT_ASSERT_EQUAL(std::string("backend_server[0].place"), issue.key);
  }

  void Manifest_WithUnknownOwner_IsRejected() {
    const Issue issue = OnlyIssue(Replaced(kManifest, "owner = \"statistics\"", "owner = \"x\""));
    CPPUNIT_ASSERT_EQUAL(std::string("service[0].owner"), issue.key);
  }

  void Manifest_WithDuplicateId_IsRejected() {
    CPPUNIT_ASSERT_EQUAL(std::string("\"t1\" twice"),
                         OnlyIssue(Replaced(kManifest, "\"t2\"", "\"t1\"")).found);
  }

  void Manifest_WithDuplicateEndpointInService_IsRejected() {
    const Issue issue = OnlyIssue(Replaced(kManifest, "[2001:db8::1]:80", "192.0.2.2:80"));
    CPPUNIT_ASSERT(issue.found.find("twice in this service") != std::string::npos);
  }

  void Manifest_ServiceWithoutActiveServer_NeedsAllowEmpty() {
    const std::string empty = Replaced(kManifest, "endpoint = \"[2001:db8::1]:80\"",
                                       "endpoint = \"[2001:db8::1]:80\"\nstate = \"leaving\"");
    CPPUNIT_ASSERT(OnlyIssue(empty).allowed.find("allow_empty = true") != std::string::npos);
    Parsed(Replaced(empty, "owner =", "allow_empty = true\nowner ="));
  }

  void Manifest_WithProbeBudgetsAboveLimit_IsRejected() {
    const std::string limit = "\n[entry]\nmax_probes_per_second = ";
    CPPUNIT_ASSERT_EQUAL(std::string("probe budgets that sum to 1 per second"),
                         OnlyIssue(kManifest + limit + "0.9\n").found);
    Parsed(kManifest + limit + "1\n");
  }

  void Manifest_WithDefaultDeadlineAboveMaximum_IsRejected() {
    const Issue issue =
        OnlyIssue(Replaced(kManifest, "owner =", "default_deadline_ms = 70000\nowner ="));
    CPPUNIT_ASSERT_EQUAL(std::string("service[0].default_deadline_ms"), issue.key);
  }

  void Manifest_WithUnknownKey_IsRejected() {
    const Issue issue = OnlyIssue(Replaced(kManifest, "region =", "zone ="));
    CPPUNIT_ASSERT_EQUAL(std::string("place[0].zone"), issue.key);
  }

  void Examples_InRepository_AreValid() {
    const auto examples =
        std::filesystem::path(__FILE__).parent_path().parent_path().parent_path() / "examples";
    CPPUNIT_ASSERT_EQUAL(size_t{3},
                         Parsed(ReadFile(examples / "local/manifest.toml")).backend_servers.size());
    for (const char* name : {"buvpabeigumu", "koperasi"}) {
      const Manifest manifest = Parsed(ReadFile(examples / name / "manifest.toml"));
      CPPUNIT_ASSERT_EQUAL(size_t{35}, manifest.backend_servers.size());
      const SettingsResult settings = LoadSettings(examples / name / "entry.toml");
      CPPUNIT_ASSERT_MESSAGE(Ok(settings) ? "" : ErrorOf(settings).front().ToString(),
                             Ok(settings));
      const auto known =
          std::find_if(manifest.failure_domains.begin(), manifest.failure_domains.end(),
                       [&](const FailureDomain& failure_domain) {
                         return failure_domain.id == ValueOf(settings).failure_domain;
                       });
      CPPUNIT_ASSERT(known != manifest.failure_domains.end());
    }
  }

 private:
  static std::string ReadFile(const std::filesystem::path& path) {
    std::ifstream in(path, std::ios::binary);
    CPPUNIT_ASSERT_MESSAGE("cannot open file " + path.string(), in.good());
    return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
  }

  static Manifest Parsed(const std::string& text) {
    const ManifestResult result = ParseManifest(text, "m.toml");
    CPPUNIT_ASSERT_MESSAGE(Ok(result) ? "" : ErrorOf(result).front().ToString(), Ok(result));
    return ValueOf(result);
  }

  static Issue OnlyIssue(const std::string& text) {
    const ManifestResult result = ParseManifest(text, "m.toml");
    CPPUNIT_ASSERT(!Ok(result));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, ErrorOf(result).size());
    return ErrorOf(result).front();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ManifestFormatTest);

}  // namespace
}  // namespace cowsliphill
