// Checked reading of TOML: every problem is an Issue that names file, line, key, what was found
// and what is allowed; keys that nobody asked for are issues too. Used by settings and manifest.
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
  std::string file;     // As named by the user.
  size_t line = 0;      // 1-based; 0 when it concerns the whole file.
  std::string key;      // Dotted path, with [n] for array items.
  std::string found;    // What stands there.
  std::string allowed;  // What may stand there.

  // "FILE:LINE: KEY: found FOUND; allowed: ALLOWED".
  std::string ToString() const;
};

class TomlDocument;

// One table of a document. Getters record an Issue and return the default when a value is wrong.
// A getter of a required key (one without a default) records an Issue when it is missing.
class TomlReader {
 public:
  // Child table; missing ones read as empty.
  TomlReader Table(const std::string& key);
  // Array of tables; missing ones read as empty.
  std::vector<TomlReader> Tables(const std::string& key);

  bool Has(const std::string& key) const;
  std::string RequiredText(const std::string& key);
  std::string Text(const std::string& key, const std::string& fallback);
  std::vector<std::string> Texts(const std::string& key, std::vector<std::string> fallback);
  int64_t Integer(const std::string& key, int64_t fallback, int64_t least, int64_t most);
  double Number(const std::string& key, double fallback, double least, double most);
  bool Boolean(const std::string& key, bool fallback);
  // Integer in milliseconds; write the unit into the key ("deadline_ms").
  std::chrono::milliseconds Milliseconds(const std::string& key, std::chrono::milliseconds fallback,
                                         std::chrono::milliseconds least,
                                         std::chrono::milliseconds most);
  // One of `allowed`; returns its position.
  size_t OneOf(const std::string& key, size_t fallback, const std::vector<std::string>& allowed);

  // Records an Issue at `key` of this table (for checks that the caller makes itself).
  void Reject(const std::string& key, const std::string& found, const std::string& allowed);
  // Records an Issue for each key that no getter of this reader has asked for.
  void RejectUnknownKeys();

 private:
  friend class TomlDocument;
  TomlReader(TomlDocument* document, const void* table, std::string path);
  const void* Find(const std::string& key);
  std::string PathOf(const std::string& key) const;

  TomlDocument* document_;       // Outlives the reader.
  const void* table_;            // toml::table, null when missing.
  std::string path_;             // Dotted path of this table.
  std::set<std::string> asked_;  // Keys that a getter has asked for.
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

// Reads "IP:PORT" or "[IPv6]:PORT"; only IP numbers, no names. Port 0 means any free port and is
// for listening only.
struct Endpoint;
enum class PortZero { kRefused, kAllowed };
std::optional<Endpoint> ParseEndpoint(const std::string& text,
                                      PortZero port_zero = PortZero::kRefused);

}  // namespace cowsliphill

#endif  // COWSLIPHILL_BASE_TOML_READER_H_
