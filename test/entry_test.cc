// Tests entry processes through their HTTP interface: real entries and the fake log on
// loopback addresses. Every wait polls for a condition; none is a fixed delay.
#include <gtest/gtest.h>

#include <fcntl.h>
#include <jansson.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "ledger/fns.h"
#include "net/fns.h"
#include "test/port.h"

namespace
{

const std::string kLogAddress = FreeAddress ();
const char *const kLog = kLogAddress.c_str ();
// HTTP and wire addresses of the entries e1 and e2.
const std::string kHttp1 = FreeAddress ();
const std::string kWire1 = FreeAddress ();
const std::string kHttp2 = FreeAddress ();
const std::string kWire2 = FreeAddress ();
const int kMaxPolls = 300; // at intervals of 100 ms

struct Reply
{
  int status = 0; // 0: no response
  std::string body;
  cb_loop_t *loop = nullptr;
};

void
Done (void *ctx, int err, int status, const char *body, size_t len)
{
  Reply *reply = static_cast<Reply *> (ctx);

  reply->status = err < 0 ? 0 : status;
  reply->body.assign (body == nullptr ? "" : body, len);
  cb_loop_stop (reply->loop);
}

class EntryTest : public ::testing::Test
{
protected:
  cb_loop_t *loop = cb_loop_new ();
  std::map<std::string, pid_t> pids;
  std::string dir;

  void
  SetUp () override
  {
    char path[] = "/tmp/carobrun-entry-test.XXXXXX";

    ASSERT_NE (mkdtemp (path), nullptr);
    dir = path;
    Spawn ("log", { Bin ("carobrun-fake-log"), "--listen", kLog });
    ASSERT_TRUE (Await ([this] {
      return Call ("GET", kLog, "/v1/streams/state/records?from=1&max=1&wait_ms=0")
                 .status != 0;
    }));
  }

  void
  TearDown () override
  {
    while (!pids.empty ())
      Kill (pids.begin ()->first, SIGKILL);
    for (const char *name : { "e1", "e2" })
      for (const char *suffix : { ".yaml", ".trace" })
        unlink ((dir + "/" + name + suffix).c_str ());
    rmdir (dir.c_str ());
    cb_loop_free (loop);
  }

  static std::string
  Bin (const char *name)
  {
    const char *bin = getenv ("CAROBRUN_BIN");

    return std::string (bin == nullptr ? "build/test" : bin) + "/" + name;
  }

  void
  Spawn (const std::string &name, const std::vector<std::string> &args)
  {
    std::vector<char *> argv;
    pid_t pid;

    for (const auto &arg : args)
      argv.push_back (const_cast<char *> (arg.c_str ()));
    argv.push_back (nullptr);
    pid = fork ();
    if (pid == 0)
      {
        execv (argv[0], argv.data ());
        _exit (127);
      }
    pids[name] = pid;
  }

  // Sends a signal to a process and returns its exit status, -1 when a signal ended it.
  int
  Kill (const std::string &name, int signal_number)
  {
    int status = 0;

    kill (pids[name], signal_number);
    waitpid (pids[name], &status, 0);
    pids.erase (name);
    return WIFEXITED (status) ? WEXITSTATUS (status) : -1;
  }

  static std::string
  Http (const std::string &name)
  {
    return name == "e1" ? kHttp1 : kHttp2;
  }

  void
  StartEntry (const std::string &name)
  {
    std::string path = dir + "/" + name + ".yaml";
    FILE *file = fopen (path.c_str (), "we");

    ASSERT_NE (file, nullptr);
    fprintf (file,
             "name: %s\ncell: west\nhttp_address: '%s'\nwire_address: '%s'\n"
             "entries:\n- {name: e1, address: '%s'}\n"
             "- {name: e2, address: '%s'}\nlog: {address: '%s'}\n"
             "log_level: error\ntrace_file: %s/%s.trace\n",
             name.c_str (), Http (name).c_str (),
             name == "e1" ? kWire1.c_str () : kWire2.c_str (), kWire1.c_str (),
             kWire2.c_str (), kLog, dir.c_str (), name.c_str ());
    fclose (file);
    Spawn (name, { Bin ("carobrun"), "entry", "--settings", path });
    ASSERT_TRUE (
        Await ([&] { return Call ("GET", Http (name), "/v1/status").status == 200; }));
  }

  Reply
  Call (const char *method, const std::string &address, const std::string &path,
        const std::string &body = "")
  {
    Reply reply;
    cb_http_spec_t spec = {};

    reply.loop = loop;
    spec.address = address.c_str ();
    spec.method = method;
    spec.path = path.c_str ();
    spec.body = body.data ();
    spec.body_len = body.size ();
    spec.timeout_ms = 20000;
    cb_http_call (loop, &spec, Done, &reply);
    cb_loop_run (loop);
    return reply;
  }

  bool
  Await (const std::function<bool ()> &condition)
  {
    for (int i = 0; i < kMaxPolls; i++)
      {
        if (condition ())
          return true;
        usleep (100000);
      }
    return false;
  }

  // Returns the member at PATH ("a.0.b") of a JSON body as text, empty when absent.
  static std::string
  Get (const std::string &body, const std::string &path)
  {
    json_t *root = json_loads (body.c_str (), 0, nullptr);
    json_t *at = root;
    std::string text;

    for (size_t from = 0; at != nullptr && from <= path.size ();)
      {
        size_t dot = std::min (path.find ('.', from), path.size ());
        std::string name = path.substr (from, dot - from);

        at = json_is_array (at)
                 ? json_array_get (at, static_cast<size_t> (atoi (name.c_str ())))
                 : json_object_get (at, name.c_str ());
        from = dot + 1;
      }
    if (json_is_string (at))
      text = json_string_value (at);
    else if (json_is_integer (at))
      text = std::to_string (json_integer_value (at));
    else if (json_is_boolean (at))
      text = json_is_true (at) ? "true" : "false";
    json_decref (root);
    return text;
  }

  std::string
  Status (const std::string &name, const std::string &path)
  {
    return Get (Call ("GET", Http (name), "/v1/status").body, path);
  }

  std::string
  Scheduler (const std::string &name)
  {
    return Status (name, "cells.0.scheduler");
  }

  static std::string
  Config (int base)
  {
    return "{\"base_version\":" + std::to_string (base) +
           ",\"replace_all\":true,"
           "\"availability_zones\":[{\"name\":\"z0\",\"region\":\"west\"}],"
           "\"client_accounts\":[\"a\",\"b\"],\"racks\":[{\"name\":\"r0\","
           "\"availability_zone\":\"z0\",\"instances\":["
           "{\"name\":\"i0\",\"accelerators\":8},{\"name\":\"i1\",\"accelerators\":8}]}"
           "],\"accounts\":[{\"name\":\"a\",\"quota_accelerators\":12}],"
           "\"kinds\":[{\"name\":\"run\",\"job\":true},{\"name\":\"quote\"}]}";
  }

  static std::string
  Job (const std::string &key, int members, int accelerators,
       const std::string &account = "a", const std::string &kind = "run")
  {
    return "{\"key\":\"" + key + "\",\"account\":\"" + account + "\",\"kind\":\"" +
           kind + "\",\"members\":" + std::to_string (members) +
           ",\"accelerators\":" + std::to_string (accelerators) +
           ",\"adjacency\":\"rack\",\"run_ms\":500}";
  }

  void
  Configure (const std::string &name)
  {
    ASSERT_TRUE (Await ([&] { return Status (name, "log_available") == "true"; }));
    Reply reply = Call ("POST", Http (name), "/v1/config", Config (0));
    ASSERT_EQ (reply.status, 200) << reply.body;
  }

  void
  ExpectRefused (const Reply &reply, int status, const std::string &reason,
                 const std::string &ran)
  {
    EXPECT_EQ (reply.status, status) << reply.body;
    EXPECT_EQ (Get (reply.body, "error.reason"), reason) << reply.body;
    EXPECT_EQ (Get (reply.body, "error.ran"), ran) << reply.body;
  }
};

TEST_F (EntryTest, RefusesWorkWithoutConfiguration)
{
  StartEntry ("e1");
  ExpectRefused (Call ("POST", Http ("e1"), "/v1/jobs", Job ("j", 1, 1)), 503,
                 "no_config", "no");
  ExpectRefused (Call ("POST", Http ("e1"), "/v1/requests",
                       "{\"key\":\"k\",\"account\":\"a\",\"kind\":\"quote\"}"),
                 503, "no_config", "no");
  EXPECT_EQ (Call ("GET", Http ("e1"), "/v1/config").status, 404);
}

// Guards against a lost update: of two changes based on the same version, only one may
// be accepted.
TEST_F (EntryTest, ConfigurationIsAcceptedOnceAndReachesEveryEntry)
{
  StartEntry ("e1");
  StartEntry ("e2");
  Configure ("e1");
  std::string version = Status ("e1", "config_version");
  ASSERT_TRUE (Await ([&] { return Status ("e2", "config_version") == version; }));
  Reply reply = Call ("POST", Http ("e2"), "/v1/config", Config (0));
  ExpectRefused (reply, 409, "conflict", "no");
  EXPECT_NE (Get (reply.body, "error.detail").find (version), std::string::npos);
  // The rack is in an availability zone that does not exist.
  std::string bad = Config (atoi (version.c_str ()));
  bad.replace (bad.find ("\"availability_zone\":\"z0\""), 24,
               "\"availability_zone\":\"zz\"");
  ExpectRefused (Call ("POST", Http ("e1"), "/v1/config", bad), 400, "bad_request",
                 "no");
  EXPECT_EQ (Status ("e1", "config_version"), version);
}

TEST_F (EntryTest, JobsAreAcceptedOnceForEachKey)
{
  StartEntry ("e1");
  StartEntry ("e2");
  Configure ("e1");
  ASSERT_TRUE (Await ([&] { return Status ("e2", "config_version") != "0"; }));
  Reply first = Call ("POST", Http ("e1"), "/v1/jobs", Job ("j1", 2, 4));
  EXPECT_EQ (first.status, 202) << first.body;
  EXPECT_EQ (Get (first.body, "state"), "queued");
  // The other entry has the key from the log: an equal job is a repeated submission.
  EXPECT_EQ (Call ("POST", Http ("e2"), "/v1/jobs", Job ("j1", 2, 4)).status, 202);
  ExpectRefused (Call ("POST", Http ("e2"), "/v1/jobs", Job ("j1", 1, 4)), 409,
                 "key_conflict", "no");
  ExpectRefused (Call ("POST", Http ("e1"), "/v1/jobs", Job ("j2", 1, 9, "b")), 400,
                 "never_fits", "no");
  ExpectRefused (Call ("POST", Http ("e1"), "/v1/jobs", Job ("j3", 2, 8)), 400,
                 "quota_exceeded", "no");
  ExpectRefused (Call ("POST", Http ("e1"), "/v1/jobs", Job ("j4", 1, 1, "nobody")),
                 400, "unknown_account", "no");
  ExpectRefused (Call ("POST", Http ("e1"), "/v1/jobs", Job ("j5", 1, 1, "a", "quote")),
                 400, "unknown_kind", "no");
  Reply list = Call ("GET", Http ("e1"), "/v1/jobs?account=a");
  EXPECT_EQ (Get (list.body, "jobs.0.key"), "j1");
  EXPECT_EQ (Get (list.body, "jobs.1.key"), "");
  EXPECT_EQ (Call ("GET", Http ("e1"), "/v1/jobs/none?account=a").status, 404);
}

// Guards against a refusal that names neither the field out of range nor its limits:
// the caller could not correct the call.
TEST_F (EntryTest, FieldOutOfRangeIsNamedWithItsRange)
{
  StartEntry ("e1");
  Configure ("e1");
  auto detail = [&] (const std::string &path, const std::string &body) {
    Reply reply = Call ("POST", Http ("e1"), path, body);
    ExpectRefused (reply, 400, "bad_request", "no");
    return Get (reply.body, "error.detail");
  };
  EXPECT_EQ (detail ("/v1/jobs", Job ("j", 0, 1)),
             "members: 0 is out of range; accepted: 1..4096");
  EXPECT_EQ (detail ("/v1/jobs", Job ("j", 4097, 1)),
             "members: 4097 is out of range; accepted: 1..4096");
  EXPECT_EQ (detail ("/v1/jobs", Job ("j", 1, 65)),
             "accelerators: 65 is out of range; accepted: 0..64");
  EXPECT_EQ (detail ("/v1/requests", "{\"account\":\"a\",\"kind\":\"quote\"}"),
             "key and account are required");
}

TEST_F (EntryTest, CanceledJobEndsAndCannotBeCanceledAgain)
{
  StartEntry ("e1");
  Configure ("e1");
  ASSERT_TRUE (Await ([&] { return Scheduler ("e1") == "e1"; }));
  ASSERT_EQ (Call ("POST", Http ("e1"), "/v1/jobs", Job ("j1", 1, 4)).status, 202);
  EXPECT_EQ (Call ("DELETE", Http ("e1"), "/v1/jobs/j1?account=a").status, 202);
  ASSERT_TRUE (Await ([&] {
    return Get (Call ("GET", Http ("e1"), "/v1/jobs/j1?account=a").body, "state") ==
           "canceled";
  }));
  EXPECT_EQ (Call ("DELETE", Http ("e1"), "/v1/jobs/j1?account=a").status, 409);
}

// A killed scheduler must be replaced by the other entry under a larger epoch. A
// scheduler that gets SIGTERM must hand the cell over and exit with status 0.
TEST_F (EntryTest, AnotherEntryTakesTheCellOver)
{
  StartEntry ("e1");
  StartEntry ("e2");
  ASSERT_TRUE (Await ([&] {
    std::string name = Scheduler ("e1");

    return !name.empty () && name == Scheduler ("e2");
  }));
  std::string killed = Scheduler ("e1");
  std::string other = killed == "e1" ? "e2" : "e1";
  int epoch = atoi (Status (other, "cells.0.epoch").c_str ());
  Kill (killed, SIGKILL);
  ASSERT_TRUE (Await ([&] { return Scheduler (other) == other; }));
  EXPECT_GT (atoi (Status (other, "cells.0.epoch").c_str ()), epoch);
  StartEntry (killed);
  ASSERT_TRUE (Await ([&] { return Scheduler (killed) == other; }));
  EXPECT_EQ (Kill (other, SIGTERM), 0);
  ASSERT_TRUE (Await ([&] { return Scheduler (killed) == killed; }));
}

// Guards against a restarted scheduler that goes on under the epoch of its previous
// start, because the claim in the log has its name. It must claim a new epoch: another
// entry may have claimed one meanwhile, and agents reject messages under an older epoch
// than the newest that they have received.
TEST_F (EntryTest, RestartedSchedulerClaimsANewEpoch)
{
  StartEntry ("e1");
  ASSERT_TRUE (Await ([&] { return Scheduler ("e1") == "e1"; }));
  int epoch = atoi (Status ("e1", "cells.0.epoch").c_str ());
  Kill ("e1", SIGKILL);
  StartEntry ("e1");
  ASSERT_TRUE (
      Await ([&] { return atoi (Status ("e1", "cells.0.epoch").c_str ()) > epoch; }));
}

TEST_F (EntryTest, JobsAreRefusedOnlyDuringALogOutage)
{
  StartEntry ("e1");
  Configure ("e1");
  ASSERT_EQ (Call ("POST", kLog, "/control", "{\"down\":true}").status, 200);
  Reply reply = Call ("POST", Http ("e1"), "/v1/jobs", Job ("j1", 1, 1));
  EXPECT_EQ (reply.status, 503) << reply.body;
  EXPECT_EQ (Get (reply.body, "error.reason"), "log_unavailable");
  ASSERT_EQ (Call ("POST", kLog, "/control", "{\"down\":false}").status, 200);
  ASSERT_TRUE (Await ([&] {
    return Call ("POST", Http ("e1"), "/v1/jobs", Job ("j1", 1, 1)).status == 202;
  }));
}

// Guards against a duplicate job: the log stores a record but its response is lost, so
// the entry appends the record again.
TEST_F (EntryTest, LostAppendResponseGivesOneJob)
{
  StartEntry ("e1");
  Configure ("e1");
  ASSERT_EQ (Call ("POST", kLog, "/control", "{\"lose_answers\":1}").status, 200);
  Reply reply = Call ("POST", Http ("e1"), "/v1/jobs", Job ("j1", 1, 1));
  EXPECT_EQ (reply.status, 202) << reply.body;
  Reply list = Call ("GET", Http ("e1"), "/v1/jobs");
  EXPECT_EQ (Get (list.body, "jobs.0.key"), "j1");
  EXPECT_EQ (Get (list.body, "jobs.1.key"), "");
}

// Guards against a new entry without the state from records that have expired in the
// log: it must get it from a peer's snapshot.
TEST_F (EntryTest, NewEntryStartsFromAPeersSnapshot)
{
  StartEntry ("e1");
  Configure ("e1");
  ASSERT_EQ (Call ("POST", Http ("e1"), "/v1/jobs", Job ("j1", 1, 1)).status, 202);
  ASSERT_EQ (Call ("POST", kLog, "/control", "{\"retain\":1}").status, 200);
  ASSERT_EQ (Call ("POST", Http ("e1"), "/v1/jobs", Job ("j2", 1, 1)).status, 202);
  ASSERT_EQ (
      Call ("GET", kLog, "/v1/streams/state/records?from=1&max=1&wait_ms=0").status,
      410);
  StartEntry ("e2");
  ASSERT_TRUE (Await ([&] {
    return Status ("e2", "config_version") == Status ("e1", "config_version") &&
           Call ("GET", Http ("e2"), "/v1/jobs/j1?account=a").status == 200;
  }));
}

// Returns a record batch with one complete snapshot, which has configuration version 5.
std::string
StoredSnapshot ()
{
  Cb__Snapshot snapshot = CB__SNAPSHOT__INIT;
  Cb__Config config = CB__CONFIG__INIT;
  Cb__Inventory inventory = CB__INVENTORY__INIT;
  Cb__Rules rules = CB__RULES__INIT;
  Cb__RecordBatch batch = CB__RECORD_BATCH__INIT;
  Cb__Record record = CB__RECORD__INIT;
  Cb__Record *records[] = { &record };

  config.version = 5;
  config.inventory = &inventory;
  config.rules = &rules;
  snapshot.next = 6;
  snapshot.config = &config;
  GBytes *whole = cb_msg_pack (&snapshot.base);
  GPtrArray *chunks = cb_snapshot_split (whole, 1, 1000);
  record.body_case = CB__RECORD__BODY_SNAPSHOT;
  record.snapshot = static_cast<Cb__SnapshotChunk *> (chunks->pdata[0]);
  batch.records = records;
  batch.n_records = 1;
  GBytes *packed = cb_msg_pack (&batch.base);
  gsize size;
  const char *data = static_cast<const char *> (g_bytes_get_data (packed, &size));
  std::string text (data, size);
  g_bytes_unref (packed);
  g_ptr_array_free (chunks, TRUE);
  g_bytes_unref (whole);
  return text;
}

// Guards against a new entry that finds no snapshot: it first reads the last 128
// records of the snapshot stream, and the only snapshot is before them.
TEST_F (EntryTest, NewEntryFindsASnapshotBeforeTheEndOfTheStream)
{
  ASSERT_EQ (
      Call ("POST", kLog, "/v1/streams/snapshot/records", StoredSnapshot ()).status,
      200);
  for (int i = 0; i < 200; i++)
    ASSERT_EQ (Call ("POST", kLog, "/v1/streams/snapshot/records", "\xff").status, 200);
  StartEntry ("e1");
  EXPECT_TRUE (Await ([&] { return Status ("e1", "config_version") == "5"; }));
}

// Guards against a new entry that skips the newest snapshot when it begins with the
// last 128 records of the stream.
TEST_F (EntryTest, NewEntryTakesTheSnapshotAtTheEndOfTheStream)
{
  for (int i = 0; i < 200; i++)
    ASSERT_EQ (Call ("POST", kLog, "/v1/streams/snapshot/records", "\xff").status, 200);
  ASSERT_EQ (
      Call ("POST", kLog, "/v1/streams/snapshot/records", StoredSnapshot ()).status,
      200);
  StartEntry ("e1");
  EXPECT_TRUE (Await ([&] { return Status ("e1", "config_version") == "5"; }));
}

// Guards against reasons without a counter at the start: a counter that is created by
// its first event shows no rate for that event.
TEST_F (EntryTest, DrainIsAcceptedAndEveryReasonHasACounter)
{
  StartEntry ("e1");
  Configure ("e1");
  EXPECT_EQ (Call ("POST", Http ("e1"), "/v1/drain", "{\"instance\":\"i0\"}").status,
             200);
  EXPECT_EQ (Call ("POST", Http ("e1"), "/v1/undrain", "{\"instance\":\"i0\"}").status,
             200);
  EXPECT_EQ (Call ("POST", Http ("e1"), "/v1/drain", "{\"instance\":\"x\"}").status,
             404);
  std::string text = Call ("GET", Http ("e1"), "/metrics").body;
  for (const char *name : { "refused_total", "retried_total" })
    for (unsigned i = 0; i < cb__reason__descriptor.n_values; i++)
      {
        auto reason = static_cast<Cb__Reason> (cb__reason__descriptor.values[i].value);

        if (reason == CB__REASON__REASON_NONE)
          continue;
        EXPECT_NE (text.find (std::string ("carobrun_") + name + "{reason=\"" +
                              cb_reason_text (reason) + "\"} "),
                   std::string::npos)
            << name << " " << cb_reason_text (reason);
      }
}

} // namespace
