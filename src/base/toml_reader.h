// Validating TOML reader for settings and manifests. Each problem becomes an Issue with file, line,
// key, the value found and the values allowed. Unknown keys are reported as well.
//
//   TomlDocument doc = TomlDocument::Parse(text, "entry.toml");
//   TomlReader root = doc.Root();
//   uint16_t port = root.Table("edge").Integer("port", 8080, 1, 65535);
//   root.RejectUnknownKeys();
//   if (!doc.Issues().empty()) ...

#ifndef COWSLIPHILL_BASE_TOML_READER_H_
#define COWSLIPHILL_BASE_TOML_READER_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cowsliphill {

struct Issue {
  std::string file;     // Name of the file; empty if the issue doesn't concern a file.
  size_t line = 0;      // 1-based; 0 if the issue concerns the whole file.
  std::string key;      // Dotted path, with [n] for array items.
  std::string found;    // The value found at the key, or a description of it.
  std::string allowed;  // Description of the values allowed at the key.

  // "FILE:LINE: KEY: found FOUND; allowed: ALLOWED".
  std::string ToString() const;
};

class TomlDocument;

// Reads one table of a document. Getters return `fallback` if the key is missing; if its value is
// invalid, they record an Issue and return `fallback`. If items of an array are not strings,
// Texts() records an Issue for each of them and returns the other items. RequiredText() has no
// fallback and records an Issue if the key is missing or its text is empty.
class TomlReader {
 public:
  // Returns a reader of a child table; a missing table reads as empty.
  TomlReader Table(const std::string& key);
  // Returns a reader of each table in an array; a missing array reads as empty.
  std::vector<TomlReader> Tables(const std::string& key);

  bool Has(const std::string& key) const;
  std::string RequiredText(const std::string& key);
  std::string Text(const std::string& key, const std::string& fallback);
  std::vector<std::string> Texts(const std::string& key, std::vector<std::string> fallback);
  int64_t Integer(const std::string& key, int64_t fallback, int64_t min, int64_t max);
  double Number(const std::string& key, double fallback, double min, double max);
  bool Boolean(const std::string& key, bool fallback);
  // Reads a number of milliseconds; a fraction is rounded up. The key should name the unit
  // ("deadline_ms").
  std::chrono::milliseconds Milliseconds(const std::string& key, std::chrono::milliseconds fallback,
                                         std::chrono::milliseconds min,
                                         std::chrono::milliseconds max);
  // Reads a text that must be one of `allowed`; returns its index there.
  size_t ChoiceIndex(const std::string& key, size_t fallback,
                     const std::vector<std::string>& allowed);

  // Records an Issue at `key` of this table, for checks that the caller makes itself.
  void Reject(const std::string& key, const std::string& found, const std::string& allowed);
  // Records an Issue for each key of this table that no getter of this reader was called with.
  void RejectUnknownKeys();

 private:
  friend class TomlDocument;
  TomlReader(TomlDocument* document, const void* table, std::string path);
  const void* Find(const std::string& key);
  std::string PathOf(const std::string& key) const;

  TomlDocument* document_;                // Must outlive the reader.
  const void* table_;                     // toml::table; null if the table is missing.
  std::string path_;                      // Dotted path of this table.
  std::set<std::string> requested_keys_;  // Keys that a getter was called with.
};

class TomlDocument {
 public:
  static TomlDocument Parse(const std::string& text, const std::string& file);
  ~TomlDocument();
  TomlDocument(TomlDocument&&) noexcept;
  TomlDocument& operator=(TomlDocument&&) noexcept;

  TomlReader Root();
  const std::vector<Issue>& Issues() const { return issues_; }
  void Add(Issue issue) { issues_.push_back(std::move(issue)); }
  const std::string& File() const { return file_; }

 private:
  TomlDocument();

  struct Tree;
  std::unique_ptr<Tree> tree_;  // Null after a syntax error.
  std::string file_;
  std::vector<Issue> issues_;
};

struct Endpoint;
// Whether an address may have port 0, which stands for any free port and is useful for listening
// only.
enum class PortZero { kRejected, kAllowed };
// Parses "IPv4:PORT" or "[IPv6]:PORT"; host names are not accepted.
std::optional<Endpoint> ParseEndpoint(const std::string& text,
                                      PortZero port_zero = PortZero::kRejected);

}  // namespace cowsliphill

#endif  // COWSLIPHILL_BASE_TOML_READER_H_
