#include "src/schedule/schedule_message.h"

#include <cppunit/extensions/HelperMacros.h>

#include <random>

namespace cowsliphill {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

class ScheduleMessageTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ScheduleMessageTest);
  CPPUNIT_TEST(Ask_Encoded_ComesBackTheSame);
  CPPUNIT_TEST(Reply_OfEachKind_ComesBackTheSame);
  CPPUNIT_TEST(End_Encoded_ComesBackTheSame);
  CPPUNIT_TEST(News_Encoded_ComeBackTheSame);
  CPPUNIT_TEST(Decode_UnknownValues_AreRefused);
  CPPUNIT_TEST(Decode_DamagedBytes_NeverThrows);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Ask_Encoded_ComesBackTheSame() {
    ScheduleAsk ask;
    ask.id = 0xfedcba98;
    ask.service = TagOf("service");
    ask.failure_domain = TagOf("place");
    ask.rank = 3;
    ask.bulk = true;
    ask.target_left = milliseconds(420);
    ask.deadline_left = milliseconds(99000);
    ask.tried = {TagOf("a"), TagOf("b")};
    ask.forwarded = Endpoint{"10.0.0.1", 7200};
    const auto back = Back(ask);
    CPPUNIT_ASSERT_EQUAL(ask.id, back.id);
    CPPUNIT_ASSERT_EQUAL(ask.service, back.service);
    CPPUNIT_ASSERT_EQUAL(ask.failure_domain, back.failure_domain);
    CPPUNIT_ASSERT_EQUAL(uint32_t{3}, back.rank);
    CPPUNIT_ASSERT(back.bulk && !back.hedge);
    CPPUNIT_ASSERT(back.target_left == ask.target_left);
    CPPUNIT_ASSERT(back.deadline_left == ask.deadline_left);
    CPPUNIT_ASSERT(back.tried == ask.tried);
    CPPUNIT_ASSERT(back.forwarded == ask.forwarded);
    // A target that has passed is none of the largest numbers.
    ask.target_left = milliseconds(-5);
    ask.forwarded.reset();
    CPPUNIT_ASSERT(Back(ask).target_left == milliseconds(0));
    CPPUNIT_ASSERT(!Back(ask).forwarded);
  }

  void Reply_OfEachKind_ComesBackTheSame() {
    ScheduleReply assigned;
    assigned.id = 9;
    assigned.kind = ScheduleReply::Kind::kAssigned;
    assigned.server = TagOf("s");
    assigned.expected = milliseconds(70000);
    assigned.work = milliseconds(220);
    assigned.slowdown = 7.0;
    assigned.in_flight = 2;
    assigned.usable = 40;
    assigned.report_age = milliseconds(120);
    const auto back = Back(assigned);
    CPPUNIT_ASSERT(back.kind == ScheduleReply::Kind::kAssigned);
    CPPUNIT_ASSERT_EQUAL(assigned.server, back.server);
    CPPUNIT_ASSERT(back.expected == assigned.expected && back.work == assigned.work);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(7.0, back.slowdown, 0.01);
    CPPUNIT_ASSERT_EQUAL(uint32_t{2}, back.in_flight);
    CPPUNIT_ASSERT_EQUAL(uint32_t{40}, back.usable);
    ScheduleReply refused;
    refused.kind = ScheduleReply::Kind::kRefused;
    refused.cause = RefusalCause::kNoBackendServer;
    refused.retry_after = milliseconds(350);
    CPPUNIT_ASSERT(Back(refused).cause == RefusalCause::kNoBackendServer);
    CPPUNIT_ASSERT(Back(refused).retry_after == milliseconds(350));
    CPPUNIT_ASSERT(Back(ScheduleReply{}).kind == ScheduleReply::Kind::kQueued);
  }

  void End_Encoded_ComesBackTheSame() {
    ScheduleEnd end;
    end.id = 4;
    end.end = AttemptEnd::kTimedOut;
    end.latency = microseconds(1234567);
    CPPUNIT_ASSERT(Back(end).end == AttemptEnd::kTimedOut);
    CPPUNIT_ASSERT(Back(end).latency == end.latency);
    CPPUNIT_ASSERT(!Back(end).report);
    Report report;
    report.in_flight = 5;
    report.slowdown = 1.4;
    report.draining = true;
    end.report = report;
    const auto back = Back(end);
    CPPUNIT_ASSERT_EQUAL(uint32_t{5}, back.report->in_flight.value_or(0));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.4, back.report->slowdown.value_or(0), 0.01);
    CPPUNIT_ASSERT(back.report->draining && !back.report->shedding);
    end.report = Report();  // It says nothing of its load, and must not say 0.
    CPPUNIT_ASSERT(!Back(end).report->in_flight && !Back(end).report->slowdown);
  }

  void News_Encoded_ComeBackTheSame() {
    CPPUNIT_ASSERT_EQUAL(uint32_t{17}, Back(CellNews{1, 2, 17}).free_slots);
    CPPUNIT_ASSERT_EQUAL(AskId{77}, Back(ScheduleSlow{77}).id);
  }

  void Decode_UnknownValues_AreRefused() {
    std::string end = EncodeScheduleMessage(ScheduleEnd{});
    end[5] = 99;  // No such end.
    CPPUNIT_ASSERT(!DecodeScheduleMessage(end));
    std::string reply = EncodeScheduleMessage(ScheduleReply{});
    reply[5] = 9;  // No such kind.
    CPPUNIT_ASSERT(!DecodeScheduleMessage(reply));
    CPPUNIT_ASSERT(!DecodeScheduleMessage(EncodeScheduleMessage(ScheduleSlow{}) + "x"));
    CPPUNIT_ASSERT(!DecodeScheduleMessage("A"));
    CPPUNIT_ASSERT(!DecodeScheduleMessage(""));
  }

  void Decode_DamagedBytes_NeverThrows() {
    std::mt19937_64 random(1);
    ScheduleAsk ask;
    ask.tried = {1, 2, 3};
    ask.forwarded = Endpoint{"10.0.0.1", 7200};
    const std::string whole = EncodeScheduleMessage(ask);
    for (int i = 0; i < 20000; ++i) {
      std::string bytes = whole.substr(0, random() % (whole.size() + 1));
      for (int n = 0; n < 3 && !bytes.empty(); ++n) {
        bytes[random() % bytes.size()] = static_cast<char>(random());
      }
      DecodeScheduleMessage(bytes);
    }
  }

 private:
  template <typename Message>
  static Message Back(const Message& message) {
    const auto back = DecodeScheduleMessage(EncodeScheduleMessage(message));
    CPPUNIT_ASSERT(back && std::holds_alternative<Message>(*back));
    return std::get<Message>(*back);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ScheduleMessageTest);

}  // namespace
}  // namespace cowsliphill
