#include "src/schedule/schedule_message.h"

#include <cppunit/extensions/HelperMacros.h>

#include <random>

#include "src/datagram/broadcast_tree.h"

namespace cowsliphill {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

class ScheduleMessageTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ScheduleMessageTest);
  CPPUNIT_TEST(Request_Encoded_RoundTrips);
  CPPUNIT_TEST(Request_WithWorkspace_RoundTrips);
  CPPUNIT_TEST(Request_WithWorkspace_IsNoBroadcast);
  CPPUNIT_TEST(Reply_OfEachKind_RoundTrips);
  CPPUNIT_TEST(End_Encoded_RoundTrips);
  CPPUNIT_TEST(CellUpdateAndSlowHost_Encoded_RoundTrip);
  CPPUNIT_TEST(LimitUpdate_Encoded_RoundTrips);
  CPPUNIT_TEST(WarmupUpdate_Encoded_RoundTrips);
  CPPUNIT_TEST(ServerNotice_Encoded_RoundTrips);
  CPPUNIT_TEST(Decode_UnknownValues_ReturnsNullopt);
  CPPUNIT_TEST(Decode_CorruptedBytes_NeverThrows);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Request_Encoded_RoundTrips() {
    ScheduleRequest request;
    request.id = 0xfedcba98;
    request.service = HashName("service");
    request.failure_domain = HashName("place");
    request.rank = 3;
    request.bulk = true;
    request.target_left = milliseconds(420);
    request.deadline_left = milliseconds(99000);
    request.tried = {HashName("a"), HashName("b")};
    request.forwarded_for = Endpoint{"10.0.0.1", 7200};
    const auto decoded = RoundTrip(request);
    CPPUNIT_ASSERT_EQUAL(request.id, decoded.id);
    CPPUNIT_ASSERT_EQUAL(request.service, decoded.service);
    CPPUNIT_ASSERT_EQUAL(request.failure_domain, decoded.failure_domain);
    CPPUNIT_ASSERT_EQUAL(uint32_t{3}, decoded.rank);
    CPPUNIT_ASSERT(decoded.bulk && !decoded.hedge);
    CPPUNIT_ASSERT(decoded.target_left == request.target_left);
    CPPUNIT_ASSERT(decoded.deadline_left == request.deadline_left);
    CPPUNIT_ASSERT(decoded.tried == request.tried);
    CPPUNIT_ASSERT(decoded.forwarded_for == request.forwarded_for);
    // A target that has passed is encoded as 0 and does not wrap around.
    request.target_left = milliseconds(-5);
    request.forwarded_for.reset();
    CPPUNIT_ASSERT(RoundTrip(request).target_left == milliseconds(0));
    CPPUNIT_ASSERT(!RoundTrip(request).forwarded_for);
  }

  // Requests without a workspace are encoded as before, for builds that don't know workspaces.
  void Request_WithWorkspace_RoundTrips() {
    ScheduleRequest request;
    request.charged = true;
    const std::string without = EncodeScheduleMessage(request);
    CPPUNIT_ASSERT_EQUAL('A', without[0]);
    CPPUNIT_ASSERT(!RoundTrip(request).charged);
    request.workspace = HashName("north");
    request.forwarded_for = Endpoint{"10.0.0.1", 7200};
    const auto decoded = RoundTrip(request);
    CPPUNIT_ASSERT_EQUAL(request.workspace, decoded.workspace);
    CPPUNIT_ASSERT(decoded.charged);
    // Regression: such a request had the first byte of broadcasts, and was handled as one.
    CPPUNIT_ASSERT(!DecodeBroadcast(EncodeScheduleMessage(request)));
    CPPUNIT_ASSERT(decoded.forwarded_for == request.forwarded_for);
  }

  void Reply_OfEachKind_RoundTrips() {
    ScheduleReply assigned;
    assigned.id = 9;
    assigned.kind = ScheduleReply::Kind::kAssigned;
    assigned.server = HashName("s");
    assigned.expected = milliseconds(70000);
    assigned.service_time = milliseconds(220);
    assigned.slowdown = 7.0;
    assigned.in_flight = 2;
    assigned.usable_servers = 40;
    assigned.report_age = milliseconds(120);
    const auto decoded = RoundTrip(assigned);
    CPPUNIT_ASSERT(decoded.kind == ScheduleReply::Kind::kAssigned);
    CPPUNIT_ASSERT_EQUAL(assigned.server, decoded.server);
    CPPUNIT_ASSERT(decoded.expected == assigned.expected &&
                   decoded.service_time == assigned.service_time);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(7.0, decoded.slowdown, 0.01);
    CPPUNIT_ASSERT_EQUAL(uint32_t{2}, decoded.in_flight);
    CPPUNIT_ASSERT_EQUAL(uint32_t{40}, decoded.usable_servers);
    ScheduleReply refused;
    refused.kind = ScheduleReply::Kind::kRefused;
    refused.cause = RefusalCause::kNoBackendServer;
    refused.retry_after = milliseconds(350);
    CPPUNIT_ASSERT(RoundTrip(refused).cause == RefusalCause::kNoBackendServer);
    CPPUNIT_ASSERT(RoundTrip(refused).retry_after == milliseconds(350));
    CPPUNIT_ASSERT(RoundTrip(ScheduleReply{}).kind == ScheduleReply::Kind::kQueued);
  }

  void End_Encoded_RoundTrips() {
    ScheduleEnd end;
    end.id = 4;
    end.end = AttemptEnd::kTimedOut;
    end.latency = microseconds(1234567);
    CPPUNIT_ASSERT(RoundTrip(end).end == AttemptEnd::kTimedOut);
    CPPUNIT_ASSERT(RoundTrip(end).latency == end.latency);
    CPPUNIT_ASSERT(!RoundTrip(end).report);
    Report report;
    report.in_flight = 5;
    report.slowdown = 1.4;
    report.draining = true;
    end.report = report;
    const auto decoded = RoundTrip(end);
    CPPUNIT_ASSERT_EQUAL(uint32_t{5}, decoded.report->in_flight.value_or(0));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.4, decoded.report->slowdown.value_or(0), 0.01);
    CPPUNIT_ASSERT(decoded.report->draining && !decoded.report->shedding);
    CPPUNIT_ASSERT(!decoded.limit);
    end.limit = 1.3;
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.3, RoundTrip(end).limit.value_or(0), 0.001);
    end.report = Report();  // A missing load must not be decoded as 0.
    CPPUNIT_ASSERT(!RoundTrip(end).report->in_flight && !RoundTrip(end).report->slowdown);
  }

  void CellUpdateAndSlowHost_Encoded_RoundTrip() {
    CPPUNIT_ASSERT_EQUAL(uint32_t{17}, RoundTrip(CellUpdate{1, 2, 17}).free_slots);
    CPPUNIT_ASSERT_EQUAL(ScheduleRequestId{77}, RoundTrip(SlowHost{77}).id);
  }

  void LimitUpdate_Encoded_RoundTrips() {
    LimitUpdate update{1, 2, true, {{7, 1.3, milliseconds(900)}, {8, std::nullopt, {}}}};
    const auto decoded = RoundTrip(update);
    CPPUNIT_ASSERT(decoded.service == 1 && decoded.failure_domain == 2 && decoded.shares);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, decoded.limits.size());
    CPPUNIT_ASSERT_EQUAL(NameHash{7}, decoded.limits[0].server);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.3, decoded.limits[0].per_second.value_or(0), 0.001);
    CPPUNIT_ASSERT(decoded.limits[0].age == milliseconds(900));
    CPPUNIT_ASSERT(!decoded.limits[1].per_second);
    update.limits.resize(kMaxLimits + 1);
    CPPUNIT_ASSERT_EQUAL(kMaxLimits, RoundTrip(update).limits.size());
  }

  void ServerNotice_Encoded_RoundTrips() {
    const auto decoded = RoundTrip(ServerNotice{7, 1700000000123, true});
    CPPUNIT_ASSERT_EQUAL(NameHash{7}, decoded.server);
    CPPUNIT_ASSERT_EQUAL(uint64_t{1700000000123}, decoded.started);
    CPPUNIT_ASSERT(decoded.leaving && !RoundTrip(ServerNotice{}).leaving);
    CPPUNIT_ASSERT_EQUAL(int64_t{0}, int64_t{decoded.pause.count()});
    const Endpoint of{"10.0.0.1", 7200};
    const auto pause = RoundTrip(ServerNotice{7, 1, false, milliseconds(2500), of});
    CPPUNIT_ASSERT(pause.pause == milliseconds(2500) && pause.of == of && !pause.leaving);
  }

  // Regression: requests with a workspace began with the first byte of broadcasts, so entry VMs
  // passed them on as broadcasts and no scheduler got them.
  void Request_WithWorkspace_IsNoBroadcast() {
    ScheduleRequest request;
    request.workspace = HashName("workspace");
    CPPUNIT_ASSERT(!DecodeBroadcast(EncodeScheduleMessage(request)));
  }

  void WarmupUpdate_Encoded_RoundTrips() {
    WarmupUpdate update;
    update.failure_domain = 8;
    update.shares = true;
    update.servers.push_back({7, milliseconds(86400000), milliseconds(900)});
    update.servers.push_back({9, milliseconds(1), std::nullopt});
    const auto decoded = RoundTrip(update);
    CPPUNIT_ASSERT(decoded.shares && !decoded.reply);
    CPPUNIT_ASSERT_EQUAL(NameHash{8}, decoded.failure_domain);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, decoded.servers.size());
    CPPUNIT_ASSERT(decoded.servers[0].left == milliseconds(86400000));
    CPPUNIT_ASSERT(decoded.servers[0].age == milliseconds(900));
    CPPUNIT_ASSERT(!decoded.servers[1].age);
  }

  void Decode_UnknownValues_ReturnsNullopt() {
    std::string end = EncodeScheduleMessage(ScheduleEnd{});
    end[5] = 99;  // Not an AttemptEnd.
    CPPUNIT_ASSERT(!DecodeScheduleMessage(end));
    std::string reply = EncodeScheduleMessage(ScheduleReply{});
    reply[5] = 9;  // Not a ScheduleReply::Kind.
    CPPUNIT_ASSERT(!DecodeScheduleMessage(reply));
    CPPUNIT_ASSERT(!DecodeScheduleMessage(EncodeScheduleMessage(SlowHost{}) + "x"));
    CPPUNIT_ASSERT(!DecodeScheduleMessage("A"));
    CPPUNIT_ASSERT(!DecodeScheduleMessage(""));
  }

  void Decode_CorruptedBytes_NeverThrows() {
    std::mt19937_64 random(1);
    ScheduleRequest request;
    request.tried = {1, 2, 3};
    request.forwarded_for = Endpoint{"10.0.0.1", 7200};
    const std::string encoded = EncodeScheduleMessage(request);
    for (int i = 0; i < 20000; ++i) {
      std::string bytes = encoded.substr(0, random() % (encoded.size() + 1));
      for (int n = 0; n < 3 && !bytes.empty(); ++n) {
        bytes[random() % bytes.size()] = static_cast<char>(random());
      }
      DecodeScheduleMessage(bytes);
    }
  }

 private:
  template <typename Message>
  static Message RoundTrip(const Message& message) {
    const auto decoded = DecodeScheduleMessage(EncodeScheduleMessage(message));
    CPPUNIT_ASSERT(decoded && std::holds_alternative<Message>(*decoded));
    return std::get<Message>(*decoded);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ScheduleMessageTest);

}  // namespace
}  // namespace cowsliphill
