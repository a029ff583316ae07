#include "src/cli/commands.h"

#include <httplib.h>

#include <cstdlib>
#include <cxxopts.hpp>
#include <fstream>
#include <functional>
#include <iostream>
#include <iterator>
#include <optional>
#include <random>

#include "platform/adapter.h"
#include "src/base/httplib_response.h"
#include "src/cli/entry_vm.h"
#include "src/cli/explain_command.h"
#include "src/cli/routed_entry.h"
#include "src/manifest/manifest_format.h"
#include "src/settings/settings.h"

namespace cowsliphill {

namespace {

constexpr std::chrono::seconds kAdminTimeout{20};  // Longest wait for the answer of an entry VM.

struct Command {
  std::string name;       // One or two words, such as "manifest check".
  std::string arguments;  // Arguments as the usage line shows them.
  std::string help;
  std::function<int(const cxxopts::ParseResult&)> run;
  std::function<void(cxxopts::Options&)> add_options;
};

int PrintIssues(const std::vector<Issue>& issues) {
  for (const Issue& issue : issues) std::cerr << issue.ToString() << "\n";
  return kExitUsage;
}

int UsageError(const std::string& text) {
  std::cerr << "cowsliphill: " << text << "\nTry: cowsliphill --help\n";
  return kExitUsage;
}

std::optional<std::string> ReadFile(const std::string& file) {
  std::ifstream in(file, std::ios::binary);
  if (!in) return std::nullopt;
  return std::string((std::istreambuf_iterator<char>(in)), std::istreambuf_iterator<char>());
}

// Returns the file argument of a command. If it is missing, prints an error and returns "".
std::string FileArgument(const cxxopts::ParseResult& options) {
  if (options.count("file") > 0) return options["file"].as<std::string>();
  UsageError("FILE: found nothing; allowed: the path of a file");
  return "";
}

void AddFileOption(cxxopts::Options& options) {
  options.add_options()("file", "Path of the file", cxxopts::value<std::string>());
  options.parse_positional({"file"});
}

void AddEntryOptions(cxxopts::Options& options) {
  options.add_options()("entry", "Administration address of an entry VM, IP:PORT",
                        cxxopts::value<std::string>())(
      "token", "Bearer token, if the entry VM has tokens set", cxxopts::value<std::string>());
}

std::string OptionOr(const cxxopts::ParseResult& options, const std::string& name,
                     const std::string& fallback) {
  return options.count(name) > 0 ? options[name].as<std::string>() : fallback;
}

int RunServe(const cxxopts::ParseResult& options) {
  std::string file = OptionOr(options, "settings", "");
  if (file.empty() && options.count("settings-from") > 0) {
    const char* value = std::getenv(options["settings-from"].as<std::string>().c_str());
    file = value != nullptr ? value : "";
  }
  if (file.empty()) {
    return UsageError(
        "serve: --settings FILE, or --settings-from with a variable that is set, is needed");
  }
  const SettingsResult settings = LoadSettings(file);
  if (!Ok(settings)) return PrintIssues(ErrorOf(settings));
  const SystemClock clock;
  std::random_device device;
  const uint64_t seed = (static_cast<uint64_t>(device()) << 32) | device();
  if (ValueOf(settings).platform.kind == PlatformKind::kStore) {
    return RoutedEntry(ValueOf(settings), platform::MakeAdapter(), clock, seed).Run();
  }
  return EntryVm(ValueOf(settings), clock, seed).Run();
}

int RunSettingsCheck(const cxxopts::ParseResult& options) {
  const std::string file = FileArgument(options);
  if (file.empty()) return kExitUsage;
  const SettingsResult settings = LoadSettings(file);
  if (!Ok(settings)) return PrintIssues(ErrorOf(settings));
  std::cout << file << ": settings are valid\n";
  return kExitSuccess;
}

struct CheckedManifest {
  std::string file;
  std::string text;
  Manifest manifest;
};

// Returns the manifest in the command's file. If it is invalid, prints the issues and returns the
// exit code.
Result<CheckedManifest, int> ReadManifest(const cxxopts::ParseResult& options) {
  const std::string file = FileArgument(options);
  if (file.empty()) return kExitUsage;
  const std::optional<std::string> text = ReadFile(file);
  if (!text) {
    return PrintIssues({{file, 0, "", "a path that cannot be opened", "a manifest in TOML"}});
  }
  const ManifestResult manifest = ParseManifest(*text, file);
  if (!Ok(manifest)) return PrintIssues(ErrorOf(manifest));
  return CheckedManifest{file, *text, ValueOf(manifest)};
}

int RunManifestCheck(const cxxopts::ParseResult& options) {
  const auto checked = ReadManifest(options);
  if (!Ok(checked)) return ErrorOf(checked);
  const Manifest& manifest = ValueOf(checked).manifest;
  std::cout << ValueOf(checked).file << ": manifest is valid: " << manifest.services.size()
            << " services, " << manifest.backend_servers.size() << " backend servers\n";
  return kExitSuccess;
}

// Calls the administration API and prints the answer. Returns the exit code.
int CallAdmin(const cxxopts::ParseResult& options, const std::string& method,
              const std::string& path, const std::string& body) {
  if (options.count("entry") == 0) return UsageError("--entry IP:PORT is needed");
  const std::string text = options["entry"].as<std::string>();
  const std::optional<Endpoint> entry = ParseEndpoint(text);
  if (!entry) return UsageError("--entry: found \"" + text + "\"; allowed: IP-NUMBER:PORT");
  httplib::Client client(entry->ip, entry->port);
  client.set_read_timeout(kAdminTimeout);
  httplib::Headers headers;
  if (options.count("token") > 0) {
    headers.emplace("Authorization", "Bearer " + options["token"].as<std::string>());
  }
  const httplib::Result result = method == "POST"
                                     ? client.Post(path, headers, body, "application/toml")
                                     : client.Get(path, headers);
  if (!result) {
    std::cerr << "cowsliphill: " << text << ": " << httplib::to_string(result.error()) << "\n";
    return kExitFailure;
  }
  const std::string fault = FaultOfResponse(*result);
  if (!fault.empty()) {
    std::cerr << "cowsliphill: " << text << ": the answer is not an HTTP response, " << fault
              << "\n";
    return kExitFailure;
  }
  (result->status < 400 ? std::cout : std::cerr) << result->body;
  if (result->status < 400) return kExitSuccess;
  return result->status == 400 || result->status == 422 ? kExitUsage : kExitFailure;
}

int RunStatus(const cxxopts::ParseResult& options) {
  return CallAdmin(options, "GET", "/v1/status", "");
}

int RunExplain(const cxxopts::ParseResult& options) {
  if (options.count("service") == 0) return UsageError("explain: --service NAME is needed");
  const std::string service = options["service"].as<std::string>();
  return CallAdmin(options, "GET",
                   "/v1/explain?service=" + httplib::detail::encode_query_param(service), "");
}

int RunDrain(const cxxopts::ParseResult& options) {
  if (options.count("backend-server") == 0) {
    return UsageError("drain: --backend-server NAME is needed");
  }
  const std::string server = options["backend-server"].as<std::string>();
  return CallAdmin(options, "GET",
                   "/v1/drain?backend_server=" + httplib::detail::encode_query_param(server), "");
}

// Returns "name=value" with the value encoded, for a query string.
std::string QueryParameter(const std::string& name, const std::string& value) {
  return name + "=" + httplib::detail::encode_query_param(value);
}

std::string NewSubmissionId() {
  std::random_device device;
  return "cli-" + std::to_string(device()) + "-" + std::to_string(device());
}

// Returns the query string of a submission, and prints its id so that it can be repeated.
std::string SubmissionQuery(const cxxopts::ParseResult& options) {
  const std::string id = OptionOr(options, "id", NewSubmissionId());
  std::cerr << "submission id: " << id << "\n";
  std::string query = "?" + QueryParameter("id", id) + "&" +
                      QueryParameter("base", OptionOr(options, "base", "0")) + "&" +
                      QueryParameter("note", OptionOr(options, "note", ""));
  if (options.count("dry-run") > 0) query += "&dry_run=true";
  return query;
}

int RunManifestSubmit(const cxxopts::ParseResult& options) {
  const auto checked = ReadManifest(options);
  if (!Ok(checked)) return ErrorOf(checked);
  return CallAdmin(options, "POST", "/v1/manifest" + SubmissionQuery(options),
                   ValueOf(checked).text);
}

int RunManifestRollBack(const cxxopts::ParseResult& options) {
  if (options.count("to") == 0) return UsageError("manifest rollback: --to REVISION is needed");
  const std::string query = SubmissionQuery(options) + "&" +
                            QueryParameter("roll_back_to", options["to"].as<std::string>());
  return CallAdmin(options, "POST", "/v1/manifest" + query, "");
}

int RunManifestShow(const cxxopts::ParseResult& options) {
  return CallAdmin(options, "GET", "/v1/manifest", "");
}

int RunManifestHistory(const cxxopts::ParseResult& options) {
  return CallAdmin(
      options, "GET",
      "/v1/manifest/history?" + QueryParameter("after", OptionOr(options, "after", "0")), "");
}

int RunManifestDifference(const cxxopts::ParseResult& options) {
  const std::string query = QueryParameter("from", OptionOr(options, "from", "")) + "&" +
                            QueryParameter("to", OptionOr(options, "to", ""));
  return CallAdmin(options, "GET", "/v1/manifest/difference?" + query, "");
}

int RunRecords(const cxxopts::ParseResult& options) {
  std::string query = QueryParameter("minutes", OptionOr(options, "minutes", "60"));
  for (const char* name : {"tenant", "service", "request"}) {
    if (options.count(name) > 0) {
      query += "&" + QueryParameter(name, options[name].as<std::string>());
    }
  }
  return CallAdmin(options, "GET", "/v1/records?" + query, "");
}

void AddTextOption(cxxopts::Options& options, const std::string& name, const std::string& help) {
  options.add_options()(name, help, cxxopts::value<std::string>());
}

void AddSubmissionOptions(cxxopts::Options& options) {
  AddEntryOptions(options);
  AddTextOption(options, "base", "Revision that the manifest was written against; default 0");
  AddTextOption(options, "id",
                "Submission id; default: a random one. Use the same id to repeat a submission");
  AddTextOption(options, "note", "Reason for the change, shown in the history");
  options.add_options()("dry-run",
                        "Check the manifest and show the difference, but do not accept it");
}

const std::vector<Command>& Commands() {
  static const std::vector<Command> commands = {
      {"serve", "--settings FILE | --settings-from VARIABLE", "Run one entry VM", RunServe,
       [](cxxopts::Options& options) {
         options.add_options()("settings", "Settings in TOML", cxxopts::value<std::string>())(
             "settings-from", "Environment variable that holds the path of the settings",
             cxxopts::value<std::string>());
       }},
      {"settings check", "FILE", "Check a settings file", RunSettingsCheck, AddFileOption},
      {"manifest check", "FILE", "Check a manifest", RunManifestCheck, AddFileOption},
      {"manifest submit",
       "FILE --entry IP:PORT [--base REVISION] [--id ID] [--note TEXT] [--dry-run]",
       "Submit a manifest", RunManifestSubmit,
       [](cxxopts::Options& options) {
         AddFileOption(options);
         AddSubmissionOptions(options);
       }},
      {"manifest rollback", "--to REVISION --entry IP:PORT [--base REVISION] [--note TEXT]",
       "Submit the manifest of an earlier revision as a new revision", RunManifestRollBack,
       [](cxxopts::Options& options) {
         AddSubmissionOptions(options);
         AddTextOption(options, "to", "Revision to roll back to");
       }},
      {"manifest show", "--entry IP:PORT", "Print the manifest in force", RunManifestShow,
       AddEntryOptions},
      {"manifest history", "--entry IP:PORT [--after REVISION]",
       "List the accepted revisions with author, time and note", RunManifestHistory,
       [](cxxopts::Options& options) {
         AddEntryOptions(options);
         AddTextOption(options, "after", "Show revisions after this one");
       }},
      {"manifest difference", "--entry IP:PORT --from REVISION --to REVISION",
       "Print the difference between two revisions", RunManifestDifference,
       [](cxxopts::Options& options) {
         AddEntryOptions(options);
         AddTextOption(options, "from", "Earlier revision");
         AddTextOption(options, "to", "Later revision");
       }},
      {"records", "--entry IP:PORT [--minutes N] [--tenant T] [--service S] [--request ID]",
       "List late, refused, unknown and lost requests", RunRecords,
       [](cxxopts::Options& options) {
         AddEntryOptions(options);
         AddTextOption(options, "minutes",
                       "Length of the period up to now, in minutes; default 60");
         AddTextOption(options, "tenant", "List only requests of this tenant");
         AddTextOption(options, "service", "List only requests of this service");
         AddTextOption(options, "request", "List only the request with this id");
       }},
      {"status", "--entry IP:PORT", "Print the state of an entry VM", RunStatus, AddEntryOptions},
      {"explain", "--entry IP:PORT --service NAME",
       "Print the latest decisions for a service and the reasons for them", RunExplain,
       [](cxxopts::Options& options) {
         AddEntryOptions(options);
         options.add_options()("service", "Service", cxxopts::value<std::string>());
       }},
      {"explain-route",
       "--entry IP:PORT --host HOST --path PATH [--method METHOD] [--workspace NAME] "
       "[--time-limit-ms N] [--id ID] [--json]",
       "Print where a request would be sent now and why, without sending it", RunExplainRoute,
       AddExplainRouteOptions},
      {"drain", "--entry IP:PORT --backend-server NAME",
       "Print whether a backend server is leaving and has no more requests of the entry VM",
       RunDrain,
       [](cxxopts::Options& options) {
         AddEntryOptions(options);
         options.add_options()("backend-server", "Backend server", cxxopts::value<std::string>());
       }},
  };
  return commands;
}

// Prints the commands whose names begin with `word`, such as those of "manifest". Returns whether
// there are any.
bool PrintGroupHelp(const std::string& word) {
  bool any = false;
  for (const Command& command : Commands()) {
    if (command.name.rfind(word + " ", 0) != 0) continue;
    if (!any) std::cout << "Usage: cowsliphill " << word << " COMMAND [OPTIONS]\n\n";
    any = true;
    std::cout << "  " << command.name << " " << command.arguments << "\n      " << command.help
              << "\n";
  }
  return any;
}

int PrintHelp() {
  std::cout << "cowsliphill decides which backend server takes a caller's next request.\n\n"
               "Usage: cowsliphill COMMAND [OPTIONS]\n\n";
  for (const Command& command : Commands()) {
    std::cout << "  " << command.name << " " << command.arguments << "\n      " << command.help
              << "\n";
  }
  std::cout << "\n  --help, --version\n\n"
               "Exit codes: 0 success, 1 failure, 2 usage or input errors.\n";
  return kExitSuccess;
}

// Finds the command whose name the first words form. Returns the command and the number of words in
// its name, or null and 0 if there is none.
std::pair<const Command*, size_t> FindCommand(const std::vector<std::string>& words) {
  for (const Command& command : Commands()) {
    const size_t space = command.name.find(' ');
    if (space == std::string::npos) {
      if (words[0] == command.name) return {&command, 1};
    } else if (words.size() > 1 && words[0] + " " + words[1] == command.name) {
      return {&command, 2};
    }
  }
  return {nullptr, 0};
}

int RunWithOptions(const Command& command, const std::vector<std::string>& words) {
  cxxopts::Options options("cowsliphill " + command.name, command.help);
  options.custom_help(command.arguments);
  options.add_options()("help", "Print this help");
  command.add_options(options);
  std::vector<const char*> argv = {"cowsliphill"};
  for (const std::string& word : words) argv.push_back(word.c_str());
  try {
    const cxxopts::ParseResult result = options.parse(static_cast<int>(argv.size()), argv.data());
    if (result.count("help") > 0) {
      std::cout << options.help();
      return kExitSuccess;
    }
    if (!result.unmatched().empty()) {
      return UsageError("unexpected \"" + result.unmatched()[0] + "\"");
    }
    return command.run(result);
  } catch (const cxxopts::exceptions::exception& e) {
    return UsageError(command.name + ": " + e.what());
  }
}

}  // namespace

int RunCommand(const std::vector<std::string>& arguments) {
  const std::vector<std::string> words(arguments.begin() + 1, arguments.end());
  if (words.empty()) return UsageError("no command given");
  if (words[0] == "--help" || words[0] == "help") return PrintHelp();
  if (words[0] == "--version") {
    std::cout << "cowsliphill " << COWSLIPHILL_VERSION << "\n";
    return kExitSuccess;
  }
  const bool asks_for_help = words.size() == 2 && (words[1] == "--help" || words[1] == "help");
  if (asks_for_help && PrintGroupHelp(words[0])) return kExitSuccess;
  const auto [command, word_count] = FindCommand(words);
  if (command == nullptr) return UsageError("unknown command \"" + words[0] + "\"");
  return RunWithOptions(*command,
                        {words.begin() + static_cast<std::ptrdiff_t>(word_count), words.end()});
}

}  // namespace cowsliphill
