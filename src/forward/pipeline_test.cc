#include "src/forward/pipeline.h"

#include <cppunit/extensions/HelperMacros.h>

#include <vector>

namespace cowsliphill {
namespace {

class PipelineTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PipelineTest);
  CPPUNIT_TEST(Slot_Alone_IsFirstAndLast);
  CPPUNIT_TEST(Tasks_OfLaterRequests_RunInOrderAsEarlierOnesAreAnswered);
  CPPUNIT_TEST(Task_SetAgain_ReplacesTheEarlierOne);
  CPPUNIT_TEST(Task_ThatRemovesItsOwnRequest_RunsTheNextOne);
  CPPUNIT_TEST(Clear_WithWaitingTasks_DropsThem);
  CPPUNIT_TEST(Pipeline_WithTheMostRequests_IsFull);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Slot_Alone_IsFirstAndLast() {
    const auto slot = pipeline_.Add();
    CPPUNIT_ASSERT(slot->IsFirst() && slot->IsLast());
    slot->WhenFirst(Log(1));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, log_.size());
    pipeline_.RemoveFirst();
    CPPUNIT_ASSERT(pipeline_.Empty());
  }

  void Tasks_OfLaterRequests_RunInOrderAsEarlierOnesAreAnswered() {
    const auto first = pipeline_.Add();
    const auto second = pipeline_.Add();
    const auto third = pipeline_.Add();
    CPPUNIT_ASSERT(!first->IsLast() && !second->IsFirst() && !second->IsLast() && third->IsLast());
    third->WhenFirst(Log(3));
    second->WhenFirst(Log(2));
    CPPUNIT_ASSERT(log_.empty());
    pipeline_.RemoveFirst();
    CPPUNIT_ASSERT(second->IsFirst() && !third->IsFirst());
    pipeline_.RemoveFirst();
    CPPUNIT_ASSERT((std::vector<int>{2, 3}) == log_);
  }

  void Task_SetAgain_ReplacesTheEarlierOne() {
    pipeline_.Add();
    const auto second = pipeline_.Add();
    second->WhenFirst(Log(1));
    second->WhenFirst(Log(2));
    pipeline_.RemoveFirst();
    CPPUNIT_ASSERT((std::vector<int>{2}) == log_);
  }

  void Task_ThatRemovesItsOwnRequest_RunsTheNextOne() {
    pipeline_.Add();
    pipeline_.Add()->WhenFirst([this] {
      log_.push_back(2);
      pipeline_.RemoveFirst();
    });
    pipeline_.Add()->WhenFirst(Log(3));
    pipeline_.RemoveFirst();
    CPPUNIT_ASSERT((std::vector<int>{2, 3}) == log_);
    pipeline_.RemoveFirst();
    CPPUNIT_ASSERT(pipeline_.Empty());
  }

  void Clear_WithWaitingTasks_DropsThem() {
    pipeline_.Add();
    const auto second = pipeline_.Add();
    second->WhenFirst(Log(2));
    pipeline_.Clear();
    CPPUNIT_ASSERT(pipeline_.Empty());
    CPPUNIT_ASSERT(pipeline_.Add()->IsFirst());
    CPPUNIT_ASSERT(log_.empty());
  }

  void Pipeline_WithTheMostRequests_IsFull() {
    for (size_t i = 0; i < Pipeline::kMaxRequests; ++i) {
      CPPUNIT_ASSERT(!pipeline_.Full());
      pipeline_.Add();
    }
    CPPUNIT_ASSERT(pipeline_.Full());
    pipeline_.RemoveFirst();
    CPPUNIT_ASSERT(!pipeline_.Full());
  }

 private:
  std::function<void()> Log(int value) {
    return [this, value] { log_.push_back(value); };
  }

  Pipeline pipeline_;
  std::vector<int> log_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PipelineTest);

}  // namespace
}  // namespace cowsliphill
