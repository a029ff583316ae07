// Compact encoding for datagrams that are sent many times a second: unsigned little-endian integers
// and short texts, without the cost of building a MessagePack tree.

#ifndef COWSLIPHILL_BASE_PACKED_H_
#define COWSLIPHILL_BASE_PACKED_H_

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>

namespace cowsliphill {

class PackedWriter {
 public:
  // Writes `value` in `bytes` bytes, at most 7. Values that don't fit are clamped to the maximum.
  PackedWriter& Number(uint64_t value, size_t bytes) {
    value = std::min<uint64_t>(value, (uint64_t{1} << (8 * bytes)) - 1);
    for (size_t i = 0; i < bytes; ++i) out_.push_back(static_cast<char>(value >> (8 * i) & 0xff));
    return *this;
  }
  // Writes a length byte and the text. Texts longer than 255 bytes are truncated.
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

// After the first read beyond the end, all reads return zero or an empty text, and FullyConsumed()
// returns false.
class PackedReader {
 public:
  explicit PackedReader(std::string_view bytes) : bytes_(bytes) {}

  // Reads an integer of `bytes` bytes, at most 4.
  uint32_t Number(size_t bytes) {
    if (!Has(bytes)) return 0;
    uint32_t value = 0;
    for (size_t i = 0; i < bytes; ++i) {
      value |= static_cast<uint32_t>(static_cast<unsigned char>(bytes_[position_ + i])) << (8 * i);
    }
    position_ += bytes;
    return value;
  }
  std::string Text() {
    const size_t n = Number(1);
    if (!Has(n)) return "";
    const std::string_view text = bytes_.substr(position_, n);
    position_ += n;
    return std::string(text);
  }
  // Returns whether all bytes were read, and no read went beyond the end.
  bool FullyConsumed() const { return in_bounds_ && position_ == bytes_.size(); }

 private:
  bool Has(size_t n) {
    in_bounds_ = in_bounds_ && bytes_.size() - position_ >= n;
    return in_bounds_;
  }

  std::string_view bytes_;
  size_t position_ = 0;
  bool in_bounds_ = true;
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_BASE_PACKED_H_
