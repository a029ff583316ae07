#include "src/base/toml_reader.h"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <sstream>
#include <utility>

#include "src/base/ids.h"

// toml++ asserts that some kinds of malformed keys don't occur, and does not check for them in
// release builds. With this TOML_ASSERT it throws in every build, so that a document with such a
// key is rejected like any other malformed document.
namespace cowsliphill {
struct TomlAssertion {};
}  // namespace cowsliphill
#pragma push_macro("NDEBUG")
#ifndef __clang__
#pragma GCC diagnostic push
// Some noexcept accessors assert as well; the parser calls none of them.
#pragma GCC diagnostic ignored "-Wterminate"
#endif
#undef NDEBUG
#define TOML_ASSERT(expr) ((expr) ? void() : throw cowsliphill::TomlAssertion{})
#include "toml++/toml.h"
#ifndef __clang__
#pragma GCC diagnostic pop
#endif
#pragma pop_macro("NDEBUG")

namespace cowsliphill {

namespace {

// Values are truncated to this length in an Issue.
constexpr size_t kMaxShownBytes = 60;

std::string FormatNode(const toml::node& node) {
  std::ostringstream out;
  node.visit([&out](const auto& value) { out << value; });
  std::string text = out.str();
  if (text.size() > kMaxShownBytes) text = text.substr(0, kMaxShownBytes) + "...";
  return text;
}

std::string Join(const std::vector<std::string>& words) {
  std::string text;
  for (const std::string& word : words) text += (text.empty() ? "" : ", ") + word;
  return text;
}

std::string FormatRange(const std::string& min, const std::string& max) {
  return "from " + min + " to " + max;
}

// Outcome of parsing a TOML document.
enum class ParseStatus { kParsed, kSyntaxError, kAssertionFailed };

ParseStatus TryParse(const std::string& text) {
  try {
    static_cast<void>(toml::parse(text));
    return ParseStatus::kParsed;
  } catch (const toml::parse_error&) {
    return ParseStatus::kSyntaxError;
  } catch (const TomlAssertion&) {
    return ParseStatus::kAssertionFailed;
  }
}

// Returns the line on which an assertion of toml++ fails. Bisects for the smallest
// number of leading lines of `text` whose parsing fails an assertion.
size_t FindAssertionLine(const std::string& text) {
  std::vector<size_t> ends;  // Position after the end of each line.
  for (size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '\n') ends.push_back(i + 1);
  }
  ends.push_back(text.size());
  const auto it = std::partition_point(ends.begin(), ends.end(), [&text](size_t end) {
    return TryParse(text.substr(0, end)) != ParseStatus::kAssertionFailed;
  });
  return static_cast<size_t>(it - ends.begin()) + 1;
}

}  // namespace

struct TomlDocument::Tree {
  toml::table root;
};

std::string Issue::ToString() const {
  std::string text = file;
  if (line > 0) text += ":" + std::to_string(line);
  if (!key.empty()) text += ": " + key;
  return text + ": found " + found + "; allowed: " + allowed;
}

TomlDocument::TomlDocument() = default;
TomlDocument::~TomlDocument() = default;
TomlDocument::TomlDocument(TomlDocument&&) noexcept = default;
TomlDocument& TomlDocument::operator=(TomlDocument&&) noexcept = default;

TomlDocument TomlDocument::Parse(const std::string& text, const std::string& file) {
  TomlDocument document;
  document.file_ = file;
  try {
    document.tree_ = std::make_unique<Tree>(Tree{toml::parse(text, file)});
  } catch (const toml::parse_error& e) {
    document.Add({file, e.source().begin.line, "", std::string(e.description()), "valid TOML"});
  } catch (const TomlAssertion&) {
    document.Add({file, FindAssertionLine(text), "", "a malformed key", "valid TOML"});
  }
  return document;
}

TomlReader TomlDocument::Root() { return {this, tree_ ? &tree_->root : nullptr, ""}; }

TomlReader::TomlReader(TomlDocument* document, const void* table, std::string path)
    : document_(document), table_(table), path_(std::move(path)) {}

std::string TomlReader::PathOf(const std::string& key) const {
  if (path_.empty()) return key;
  return key.empty() ? path_ : path_ + "." + key;
}

const void* TomlReader::Find(const std::string& key) {
  requested_keys_.insert(key);
  if (table_ == nullptr) return nullptr;
  return static_cast<const toml::table*>(table_)->get(key);
}

bool TomlReader::Has(const std::string& key) const {
  return table_ != nullptr && static_cast<const toml::table*>(table_)->contains(key);
}

void TomlReader::Reject(const std::string& key, const std::string& found,
                        const std::string& allowed) {
  size_t line = 0;
  if (table_ != nullptr) {
    const auto* table = static_cast<const toml::table*>(table_);
    const toml::node* node = table->get(key);
    line = (node != nullptr ? node->source() : table->source()).begin.line;
  }
  document_->Add({document_->File(), line, PathOf(key), found, allowed});
}

TomlReader TomlReader::Table(const std::string& key) {
  const auto* node = static_cast<const toml::node*>(Find(key));
  if (node != nullptr && !node->is_table()) Reject(key, FormatNode(*node), "a table");
  return {document_, node == nullptr ? nullptr : node->as_table(), PathOf(key)};
}

std::vector<TomlReader> TomlReader::Tables(const std::string& key) {
  std::vector<TomlReader> readers;
  const auto* node = static_cast<const toml::node*>(Find(key));
  if (node == nullptr) return readers;
  const toml::array* items = node->as_array();
  if (items == nullptr) {
    Reject(key, FormatNode(*node), "an array of tables, [[" + PathOf(key) + "]]");
    return readers;
  }
  for (size_t i = 0; i < items->size(); ++i) {
    const toml::table* table = items->get(i)->as_table();
    if (table == nullptr) {
      Reject(key, FormatNode(*items->get(i)), "an array that holds only tables");
      continue;
    }
    readers.push_back(TomlReader(document_, table, PathOf(key) + "[" + std::to_string(i) + "]"));
  }
  return readers;
}

std::string TomlReader::RequiredText(const std::string& key) {
  if (!Has(key)) {
    requested_keys_.insert(key);
    Reject(key, "nothing", "a string; this key is required");
    return "";
  }
  std::string text = Text(key, "");
  const auto* node = static_cast<const toml::node*>(Find(key));
  if (text.empty() && node->is_string()) Reject(key, "an empty string", "a non-empty string");
  return text;
}

std::string TomlReader::Text(const std::string& key, const std::string& fallback) {
  const auto* node = static_cast<const toml::node*>(Find(key));
  if (node == nullptr) return fallback;
  if (node->is_string()) return node->as_string()->get();
  Reject(key, FormatNode(*node), "a string");
  return fallback;
}

std::vector<std::string> TomlReader::Texts(const std::string& key,
                                           std::vector<std::string> fallback) {
  const auto* node = static_cast<const toml::node*>(Find(key));
  if (node == nullptr) return fallback;
  const toml::array* items = node->as_array();
  if (items == nullptr) {
    Reject(key, FormatNode(*node), "an array of strings");
    return fallback;
  }
  std::vector<std::string> texts;
  for (const toml::node& item : *items) {
    if (item.is_string()) {
      texts.push_back(item.as_string()->get());
    } else {
      Reject(key, FormatNode(item), "an array that holds only strings");
    }
  }
  return texts;
}

int64_t TomlReader::Integer(const std::string& key, int64_t fallback, int64_t min, int64_t max) {
  const auto* node = static_cast<const toml::node*>(Find(key));
  if (node == nullptr) return fallback;
  const auto allowed = "an integer " + FormatRange(std::to_string(min), std::to_string(max));
  if (!node->is_integer()) {
    Reject(key, FormatNode(*node), allowed);
    return fallback;
  }
  const int64_t value = node->as_integer()->get();
  if (value >= min && value <= max) return value;
  Reject(key, FormatNode(*node), allowed);
  return fallback;
}

double TomlReader::Number(const std::string& key, double fallback, double min, double max) {
  const auto* node = static_cast<const toml::node*>(Find(key));
  if (node == nullptr) return fallback;
  const std::optional<double> value = node->value<double>();
  if (value && *value >= min && *value <= max) return *value;
  std::ostringstream min_text;
  std::ostringstream max_text;
  min_text << min;
  max_text << max;
  Reject(key, FormatNode(*node), "a number " + FormatRange(min_text.str(), max_text.str()));
  return fallback;
}

bool TomlReader::Boolean(const std::string& key, bool fallback) {
  const auto* node = static_cast<const toml::node*>(Find(key));
  if (node == nullptr) return fallback;
  if (node->is_boolean()) return node->as_boolean()->get();
  Reject(key, FormatNode(*node), "true or false");
  return fallback;
}

std::chrono::milliseconds TomlReader::Milliseconds(const std::string& key,
                                                   std::chrono::milliseconds fallback,
                                                   std::chrono::milliseconds min,
                                                   std::chrono::milliseconds max) {
  const auto* node = static_cast<const toml::node*>(Find(key));
  if (node == nullptr || !node->is_floating_point()) {
    return std::chrono::milliseconds(Integer(key, fallback.count(), min.count(), max.count()));
  }
  const double value = Number(key, static_cast<double>(fallback.count()),
                              static_cast<double>(min.count()), static_cast<double>(max.count()));
  return std::chrono::milliseconds(static_cast<int64_t>(std::ceil(value)));
}

size_t TomlReader::ChoiceIndex(const std::string& key, size_t fallback,
                               const std::vector<std::string>& allowed) {
  const auto* node = static_cast<const toml::node*>(Find(key));
  if (node == nullptr) return fallback;
  const std::string text = node->is_string() ? node->as_string()->get() : "";
  for (size_t i = 0; i < allowed.size(); ++i) {
    if (allowed[i] == text) return i;
  }
  Reject(key, FormatNode(*node), "one of " + Join(allowed));
  return fallback;
}

void TomlReader::RejectUnknownKeys() {
  if (table_ == nullptr) return;
  const std::vector<std::string> allowed(requested_keys_.begin(), requested_keys_.end());
  for (const auto& [key, node] : *static_cast<const toml::table*>(table_)) {
    const std::string name(key.str());
    if (requested_keys_.count(name) == 0) Reject(name, "an unknown key", Join(allowed));
  }
}

std::optional<Endpoint> ParseEndpoint(const std::string& text, PortZero port_zero) {
  const size_t colon = text.rfind(':');
  if (colon == std::string::npos || colon == 0) return std::nullopt;
  std::string ip = text.substr(0, colon);
  const bool bracketed = ip.front() == '[' && ip.back() == ']';
  if (bracketed) ip = ip.substr(1, ip.size() - 2);
  in6_addr parsed;
  if (inet_pton(bracketed ? AF_INET6 : AF_INET, ip.c_str(), &parsed) != 1) return std::nullopt;
  uint16_t port = 0;
  const char* end = text.data() + text.size();
  const auto [rest, ec] = std::from_chars(text.data() + colon + 1, end, port);
  if (ec != std::errc() || rest != end) return std::nullopt;
  if (port == 0 && port_zero == PortZero::kRejected) return std::nullopt;
  return Endpoint{ip, port};
}

}  // namespace cowsliphill
