// Owning pointer whose copies own a copy of the object. T may be incomplete where no copy is made.

#ifndef COWSLIPHILL_BASE_CLONE_PTR_H_
#define COWSLIPHILL_BASE_CLONE_PTR_H_

#include <memory>

namespace cowsliphill {

template <typename T>
class ClonePtr : public std::unique_ptr<T> {
 public:
  ClonePtr() = default;
  ClonePtr(std::unique_ptr<T> it) : std::unique_ptr<T>(std::move(it)) {}  // NOLINT: as its base.
  ClonePtr(const ClonePtr& other)
      : std::unique_ptr<T>(other ? std::make_unique<T>(*other) : nullptr) {}
  ClonePtr(ClonePtr&&) noexcept = default;
  ClonePtr& operator=(const ClonePtr&) = delete;
  ClonePtr& operator=(ClonePtr&&) noexcept = default;
  ~ClonePtr() = default;
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_BASE_CLONE_PTR_H_
