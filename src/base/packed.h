// Numbers in datagrams that are sent many times a second: unsigned, lowest byte first, without the
// cost of a MessagePack tree.

#ifndef COWSLIPHILL_BASE_PACKED_H_
#define COWSLIPHILL_BASE_PACKED_H_

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>

namespace cowsliphill {

class PackedWriter {
 public:
  // Values that don't fit are cut to the largest that does.
  PackedWriter& Number(uint64_t value, size_t bytes) {
    value = std::min<uint64_t>(value, (uint64_t{1} << (8 * bytes)) - 1);
    for (size_t i = 0; i < bytes; ++i) out_.push_back(static_cast<char>(value >> (8 * i) & 0xff));
    return *this;
  }
  // At most 255 bytes; longer texts are cut.
  PackedWriter& Text(std::string_view text) {
    text = text.substr(0, 0xff);
    Number(text.size(), 1);
    out_.append(text);
    return *this;
  }
  std::string Take() { return std::move(out_); }

 private:
  std::string out_;
};

// After the first read beyond the end everything reads as zero, and Whole() is false.
class PackedReader {
 public:
  explicit PackedReader(std::string_view bytes) : bytes_(bytes) {}

  uint32_t Number(size_t bytes) {
    if (!Has(bytes)) return 0;
    uint32_t value = 0;
    for (size_t i = 0; i < bytes; ++i) {
      value |= static_cast<uint32_t>(static_cast<unsigned char>(bytes_[at_ + i])) << (8 * i);
    }
    at_ += bytes;
    return value;
  }
  std::string Text() {
    const size_t n = Number(1);
    if (!Has(n)) return "";
    const std::string_view text = bytes_.substr(at_, n);
    at_ += n;
    return std::string(text);
  }
  // Everything was read, and nothing beyond.
  bool Whole() const { return good_ && at_ == bytes_.size(); }

 private:
  bool Has(size_t n) {
    good_ = good_ && bytes_.size() - at_ >= n;
    return good_;
  }

  std::string_view bytes_;
  size_t at_ = 0;
  bool good_ = true;
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_BASE_PACKED_H_
