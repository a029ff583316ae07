#include "src/forward/http_reader.h"

#include <cppunit/extensions/HelperMacros.h>

namespace cowsliphill {
namespace {

constexpr size_t kMostHeaderBytes = 1024;

class HttpReaderTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpReaderTest);
  CPPUNIT_TEST(Request_ByteByByte_IsReadWhole);
  CPPUNIT_TEST(Requests_Pipelined_AreReadOneAfterTheOther);
  CPPUNIT_TEST(Request_WithLengthAndChunks_IsRefused);
  CPPUNIT_TEST(Request_WithTwoLengths_IsRefused);
  CPPUNIT_TEST(Request_WithBadChunkSize_IsRefused);
  CPPUNIT_TEST(Request_WithSpaceBeforeColon_IsRefused);
  CPPUNIT_TEST(Request_WithUnknownTransferCoding_IsRefused);
  CPPUNIT_TEST(Request_WithLargeHeaders_IsRefused);
  CPPUNIT_TEST(Request_UpgradeWanted_IsRefused);
  CPPUNIT_TEST(Body_CutShort_IsNotAnEnd);
  CPPUNIT_TEST(Answer_WithoutFraming_SaysItEndsByClose);
  CPPUNIT_TEST(Answer_ToHead_HasNoBody);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Request_ByteByByte_IsReadWhole() {
    HttpReader reader(HttpSide::kRequests, kMostHeaderBytes);
    const std::string text = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc";
    std::string log;
    for (const char c : text) log += Log(reader, std::string(1, c));
    CPPUNIT_ASSERT_EQUAL(std::string("head body:a body:b body:c end "), log);
  }

  void Requests_Pipelined_AreReadOneAfterTheOther() {
    HttpReader reader(HttpSide::kRequests, kMostHeaderBytes);
    const std::string text =
        "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n"
        "GET /b HTTP/1.1\r\n\r\n";
    CPPUNIT_ASSERT_EQUAL(std::string("head body:ab end head end "), Log(reader, text));
  }

  void Request_WithLengthAndChunks_IsRefused() {
    AssertRefused("POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n");
    AssertRefused("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n");
  }

  void Request_WithTwoLengths_IsRefused() {
    AssertRefused("POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n");
  }

  void Request_WithBadChunkSize_IsRefused() {
    AssertRefused("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n");
  }

  void Request_WithSpaceBeforeColon_IsRefused() {
    AssertRefused("POST / HTTP/1.1\r\nContent-Length : 3\r\n\r\n");
  }

  void Request_WithUnknownTransferCoding_IsRefused() {
    AssertRefused("POST / HTTP/1.1\r\nTransfer-Encoding: chunked, gzip\r\n\r\n");
  }

  void Request_WithLargeHeaders_IsRefused() {
    HttpReader reader(HttpSide::kRequests, kMostHeaderBytes);
    const std::string text = "GET / HTTP/1.1\r\nX: " + std::string(2000, 'x') + "\r\n\r\n";
    CPPUNIT_ASSERT_EQUAL(std::string("headers too large "), Log(reader, text));
  }

  void Request_UpgradeWanted_IsRefused() {
    AssertRefused("GET / HTTP/1.1\r\nConnection: upgrade\r\nUpgrade: websocket\r\n\r\n");
  }

  void Body_CutShort_IsNotAnEnd() {
    for (const char* text : {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab",
                             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n"}) {
      HttpReader reader(HttpSide::kAnswers, kMostHeaderBytes);
      CPPUNIT_ASSERT_EQUAL(std::string("head body:ab "), Log(reader, text));
      const HttpEvent event = reader.ReadClose(true);
      CPPUNIT_ASSERT(std::get<HttpError>(event).kind == HttpErrorKind::kCut);
    }
  }

  void Answer_WithoutFraming_SaysItEndsByClose() {
    HttpReader reader(HttpSide::kAnswers, kMostHeaderBytes);
    const auto step = reader.Read("HTTP/1.1 200 OK\r\n\r\nabc");
    CPPUNIT_ASSERT(std::get<HttpHead>(step.event).ends_by_close);
  }

  void Answer_ToHead_HasNoBody() {
    HttpReader reader(HttpSide::kAnswers, kMostHeaderBytes);
    reader.ExpectNoBody();
    CPPUNIT_ASSERT_EQUAL(std::string("head end "),
                         Log(reader, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"));
  }

 private:
  // The events in `text`, in words.
  static std::string Log(HttpReader& reader, std::string_view text) {
    std::string log;
    while (!text.empty()) {
      const HttpReader::Step step = reader.Read(text);
      if (const auto* error = std::get_if<HttpError>(&step.event)) {
        const bool large = error->kind == HttpErrorKind::kHeadersTooLarge;
        return log + (large ? "headers too large " : "malformed ");
      }
      log += Name(step.event);
      text.remove_prefix(step.consumed);
    }
    // An end that needs no further byte.
    return log;
  }

  static std::string Name(const HttpEvent& event) {
    if (std::holds_alternative<HttpHead>(event)) return "head ";
    if (std::holds_alternative<HttpEnd>(event)) return "end ";
    const auto* body = std::get_if<HttpBody>(&event);
    return body != nullptr ? "body:" + std::string(body->bytes) + " " : "";
  }

  static void AssertRefused(const std::string& text) {
    HttpReader reader(HttpSide::kRequests, kMostHeaderBytes);
    const std::string log = Log(reader, text);
    CPPUNIT_ASSERT_MESSAGE(text + ": " + log, log.find("malformed") != std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpReaderTest);

}  // namespace
}  // namespace cowsliphill
