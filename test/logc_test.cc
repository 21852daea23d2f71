// Checks the log client and its writer: lost responses, outages, retention, and the
// order of batches.
#include <gtest/gtest.h>
#include <signal.h>
#include <sys/wait.h>

#include <map>
#include <string>
#include <vector>

#include "ledger/fns.h"
#include "logc/fns.h"
#include "test/port.h"

namespace
{

class Writer : public ::testing::Test
{
protected:
  cb_logc_t *log = cb_logc_memory ();
  std::map<uint64_t, int> results;
  int reports = 0;
  cb_writer_t *writer =
      cb_writer_new (log, "state", "entry1/1", 20, 1000, OnDone, this);

  void
  TearDown () override
  {
    cb_writer_free (writer);
    cb_logc_close (log);
  }
  static void
  OnDone (void *ctx, uint64_t tag, int err, uint64_t)
  {
    Writer *w = static_cast<Writer *> (ctx);
    w->results[tag] = err;
    w->reports++;
  }
  void
  Add (uint64_t tag, cb_msec_t now, size_t bytes = 0)
  {
    Cb__Record *r = static_cast<Cb__Record *> (cb_msg_new (&cb__record__descriptor));
    r->body_case = CB__RECORD__BODY_REQUEST_CLAIM;
    r->request_claim =
        static_cast<Cb__RequestClaim *> (cb_msg_new (&cb__request_claim__descriptor));
    cb_msg_set_string (&r->request_claim->account, "a");
    std::string key = "k" + std::to_string (tag) + std::string (bytes, 'x');
    cb_msg_set_string (&r->request_claim->key, key.c_str ());
    cb_writer_add (writer, r, tag, now);
  }
  void
  Step (cb_msec_t now)
  {
    cb_writer_tick (writer, now);
    cb_logc_memory_dispatch (log);
  }
  // Reads the log and applies its records to a ledger.
  struct Reader
  {
    cb_ledger_t *ledger = cb_ledger_new ();
    std::vector<int> results;
    size_t batches = 0;
    int err = 1;
    uint64_t first = 0;
    ~Reader ()
    {
      cb_ledger_free (ledger);
    }
  };
  static void
  OnRead (void *ctx, int err, uint64_t first, uint64_t, const cb_logc_record_t *records,
          size_t count)
  {
    Reader *reader = static_cast<Reader *> (ctx);
    reader->err = err;
    reader->first = first;
    reader->batches += count;
    cb_ledger_set_observer (
        reader->ledger,
        [] (void *c, uint64_t, uint32_t, const Cb__Record *, int result) {
          static_cast<Reader *> (c)->results.push_back (result);
        },
        reader);
    for (size_t i = 0; i < count; i++)
      cb_ledger_apply (reader->ledger, records[i].offset, records[i].data,
                       records[i].size);
  }
  void
  Read (Reader *reader, uint64_t from)
  {
    cb_logc_read (log, "state", from, 100, 0, OnRead, reader);
    cb_logc_memory_dispatch (log);
  }
};

TEST_F (Writer, BatchWithALostResponseIsRepeatedAndAppliedOnce)
{
  Reader reader;
  cb_logc_memory_fail (log, FALSE, 1);
  Add (1, 0);
  Add (2, 5);
  Step (10);
  EXPECT_EQ (0u, cb_writer_appends (writer));
  Step (20);
  Step (25);
  EXPECT_EQ (0, reports);
  Step (40);
  EXPECT_EQ (2u, cb_writer_appends (writer));
  EXPECT_EQ (1u, cb_writer_retries (writer));
  EXPECT_EQ (0, results.at (1));
  EXPECT_EQ (0, results.at (2));
  Read (&reader, 1);
  EXPECT_EQ (2u, reader.batches);
  EXPECT_EQ ((std::vector<int>{ 0, 0, CB_LEDGER_DUPLICATE, CB_LEDGER_DUPLICATE }),
             reader.results);
}

TEST_F (Writer, SentRecordIsRetriedAfterItsReportAndUnsentRecordIsDropped)
{
  Reader reader;
  cb_logc_memory_fail (log, TRUE, 0);
  Add (1, 0);
  Step (20);
  Add (2, 30);
  for (cb_msec_t t = 40; t <= 1100; t += 20)
    Step (t);
  EXPECT_EQ (CB_LOGC_UNAVAILABLE, results.at (1));
  EXPECT_EQ (CB_LOGC_GIVEN_UP, results.at (2));
  EXPECT_EQ (1u, cb_writer_pending (writer));
  cb_logc_memory_fail (log, FALSE, 0);
  Step (5000);
  EXPECT_EQ (0u, cb_writer_pending (writer));
  EXPECT_EQ (2, reports);
  Read (&reader, 1);
  EXPECT_EQ ((std::vector<int>{ 0 }), reader.results);
}

TEST_F (Writer, RefusedBatchIsGivenUpBecauseItCannotHaveTakenEffect)
{
  cb_logc_memory_block (log, TRUE, FALSE);
  Add (1, 0);
  Add (2, 0, 300000);
  for (cb_msec_t t = 20; t <= 1020; t += 20)
    Step (t);
  EXPECT_EQ (CB_LOGC_GIVEN_UP, results.at (1));
  EXPECT_EQ (CB_LOGC_REFUSED, results.at (2));
  EXPECT_EQ (0u, cb_writer_pending (writer));
}

// Guards against attempts whose outcome would stay unknown while the log does not
// respond: a paused writer repeats only the batch that may be stored, and drops the
// other records after the shorter time limit.
TEST_F (Writer, PausedWriterSendsNoNewRecords)
{
  cb_logc_memory_fail (log, TRUE, 0);
  Add (1, 0);
  Step (20);
  cb_writer_pause (writer, 300);
  Add (2, 30);
  for (cb_msec_t t = 40; t <= 340; t += 20)
    Step (t);
  EXPECT_EQ (CB_LOGC_GIVEN_UP, results.at (2));
  EXPECT_EQ (0u, results.count (1));
  cb_logc_memory_fail (log, FALSE, 0);
  Add (3, 500);
  for (cb_msec_t t = 500; t <= 720; t += 20)
    Step (t);
  ASSERT_EQ (1u, results.count (1));
  EXPECT_EQ (0, results.at (1));
  EXPECT_EQ (0u, results.count (3));
  cb_writer_pause (writer, 0);
  Step (740);
  Step (741);
  ASSERT_EQ (1u, results.count (3));
  EXPECT_EQ (0, results.at (3));
}

TEST_F (Writer, StalledLogHasOneBatchInFlight)
{
  cb_logc_memory_block (log, FALSE, TRUE);
  for (int i = 0; i < 50; i++)
    {
      Add (i, i * 20);
      Step (i * 20);
    }
  EXPECT_EQ (1u, cb_writer_appends (writer));
  cb_logc_memory_block (log, FALSE, FALSE);
  Step (1000);
  Step (1001);
  Step (1002);
  EXPECT_EQ (2u, cb_writer_appends (writer));
  EXPECT_EQ (50, reports);
}

TEST_F (Writer, ReadBelowTheOldestRetainedRecordReportsItsOffset)
{
  Reader reader;
  for (int i = 1; i <= 3; i++)
    {
      Add (i, i * 100);
      Step (i * 100 + 20);
    }
  cb_logc_memory_expire (log, "state", 3);
  Read (&reader, 1);
  EXPECT_EQ (CB_LOGC_EXPIRED, reader.err);
  EXPECT_EQ (3u, reader.first);
}

// Tests of the HTTP client against the program carobrun-fake-log.
class Service : public ::testing::Test
{
public:
  cb_loop_t *loop = cb_loop_new ();
  cb_logc_t *log = nullptr;
  std::string address = FreeAddress ();
  pid_t pid = 0;
  int err = 1;
  uint64_t first = 0; // oldest offset in the last read, or offset of the last append
  uint64_t next = 0;  // of the last read
  std::vector<std::string> data;

  void
  SetUp () override
  {
    std::string path = std::string (getenv ("CAROBRUN_BIN")) + "/carobrun-fake-log";
    pid = fork ();
    if (pid == 0)
      {
        execl (path.c_str (), path.c_str (), "--listen", address.c_str (), nullptr);
        _exit (127);
      }
    log = cb_logc_http (loop, address.c_str (), 300);
    do // until the program listens
      Read ("state", 1, 0);
    while (err == CB_LOGC_UNAVAILABLE && waitpid (pid, nullptr, WNOHANG) == 0);
    ASSERT_EQ (0, err);
  }
  void
  TearDown () override
  {
    int status = 1;
    cb_logc_close (log);
    kill (pid, SIGTERM);
    waitpid (pid, &status, 0);
    EXPECT_EQ (0, status);
    cb_loop_free (loop);
  }
  void
  Read (const char *stream, uint64_t from, cb_msec_t wait_ms)
  {
    data.clear ();
    cb_logc_read (
        log, stream, from, 10, wait_ms,
        [] (void *ctx, int e, uint64_t f, uint64_t n, const cb_logc_record_t *records,
            size_t count) {
          Service *s = static_cast<Service *> (ctx);
          // A refused connection counts as an outage while the program starts.
          s->err = e == CB_LOGC_REFUSED ? CB_LOGC_UNAVAILABLE : e;
          s->first = f;
          s->next = n;
          for (size_t i = 0; i < count; i++)
            s->data.emplace_back (static_cast<const char *> (records[i].data),
                                  records[i].size);
          cb_loop_stop (s->loop);
        },
        this);
    cb_loop_run (loop);
  }
  static void
  OnAppend (void *ctx, int e, uint64_t offset)
  {
    Service *s = static_cast<Service *> (ctx);
    s->err = e;
    s->first = offset;
    cb_loop_stop (s->loop);
  }
  void
  Append (const std::string &text)
  {
    cb_logc_append (log, "state", text.data (), text.size (), OnAppend, this);
    cb_loop_run (loop);
  }
  void
  Control (const std::string &body)
  {
    cb_http_spec_t spec = {};
    spec.address = address.c_str ();
    spec.method = "POST";
    spec.path = "/control";
    spec.body = body.data ();
    spec.body_len = body.size ();
    spec.timeout_ms = 10000;
    cb_http_call (
        loop, &spec,
        [] (void *ctx, int e, int status, const char *, size_t) {
          EXPECT_EQ (0, e);
          EXPECT_EQ (200, status);
          cb_loop_stop (static_cast<Service *> (ctx)->loop);
        },
        this);
    cb_loop_run (loop);
  }
};

TEST_F (Service, LostResponseOutageAndRetention)
{
  Append (std::string ("a\0b", 3));
  EXPECT_EQ (0, err);
  EXPECT_EQ (1u, first);
  Control ("{\"lose_answers\":1}");
  Append ("lost");
  EXPECT_EQ (CB_LOGC_UNAVAILABLE, err);
  Control ("{\"down\":true}");
  Append ("down");
  EXPECT_EQ (CB_LOGC_UNAVAILABLE, err);
  Control ("{\"down\":false}");
  Read ("state", 1, 0);
  EXPECT_EQ (0, err);
  EXPECT_EQ (3u, next);
  EXPECT_EQ ((std::vector<std::string>{ std::string ("a\0b", 3), "lost" }), data);
  Append (std::string (262145, 'x'));
  EXPECT_EQ (CB_LOGC_REFUSED, err);
  Control ("{\"retain\":1}");
  Append ("kept");
  EXPECT_EQ (3u, first);
  Read ("state", 2, 0);
  EXPECT_EQ (CB_LOGC_EXPIRED, err);
  EXPECT_EQ (3u, first);
}

TEST_F (Service, WaitingReadEndsWithAnAppendOrAfterItsWait)
{
  Read ("other", 1, 50);
  EXPECT_EQ (0, err);
  EXPECT_TRUE (data.empty ());
  cb_timer_t *timer = cb_timer_new (
      loop, 20, 0,
      [] (void *ctx) {
        Service *s = static_cast<Service *> (ctx);
        cb_logc_append (
            s->log, "state", "x", 1, [] (void *, int, uint64_t) {}, nullptr);
      },
      this);
  Read ("state", 1, 60000);
  EXPECT_EQ ((std::vector<std::string>{ "x" }), data);
  cb_timer_free (timer);
}

TEST_F (Service, RecordsExpireByAge)
{
  Append ("x");
  Control ("{\"retain_ms\":1}");
  do // until the record is older than 1 ms
    Read ("state", 1, 0);
  while (err == 0);
  EXPECT_EQ (CB_LOGC_EXPIRED, err);
  EXPECT_EQ (2u, first);
}

TEST_F (Service, AppendWithAStalledResponseMayHaveTakenEffect)
{
  Control ("{\"stall_ms\":60000}");
  Append ("x");
  EXPECT_EQ (CB_LOGC_UNAVAILABLE, err);
  Control ("{\"stall_ms\":0}");
  Read ("state", 1, 0);
  EXPECT_EQ ((std::vector<std::string>{ "x" }), data);
}

} // namespace
