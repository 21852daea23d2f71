// Guards the replay of the recorded traces: their stated outcomes
// (traces/*.expect.json) must hold, an outcome that is not met must be reported, and
// the generator must still write the same traces.
#include <glib.h>
#include <gtest/gtest.h>
#include <sys/wait.h>

#include <string>

namespace
{

// Runs `carobrun ARGS`; returns its exit status and adds its output to OUT.
int
Carobrun (const std::string &args, std::string *out, std::string *err)
{
  const char *dir = g_getenv ("CAROBRUN_BIN");
  std::string line = std::string (dir == nullptr ? "." : dir) + "/carobrun " + args;
  char *output = nullptr, *errors = nullptr;
  int status = -1;

  if (!g_spawn_command_line_sync (line.c_str (), &output, &errors, &status, nullptr))
    return -1;
  if (out != nullptr)
    *out = output;
  if (err != nullptr)
    *err = errors;
  g_free (output);
  g_free (errors);
  return WIFEXITED (status) ? WEXITSTATUS (status) : -1;
}

std::string
Replay (const std::string &trace, const std::string &site, const std::string &expect)
{
  return "replay " + trace + " -i examples/" + site + "/inventory.yaml -r examples/" +
         site + "/rules.yaml -e " + expect;
}

// A temporary file with TEXT that is removed with the object.
struct Temp
{
  char *path = nullptr;

  explicit Temp (const std::string &text)
  {
    close (g_file_open_tmp ("replay-XXXXXX", &path, nullptr));
    EXPECT_TRUE (g_file_set_contents (path, text.c_str (), -1, nullptr));
  }
  ~Temp ()
  {
    unlink (path);
    g_free (path);
  }
};

std::string
Line (int at_ms, const char *account, const std::string &key, const char *kind,
      int members, int run_ms)
{
  std::string run = std::to_string (run_ms);
  return "{\"at_ms\":" + std::to_string (at_ms) +
         ",\"op\":\"submit\",\"job\":{\"account\":\"" + account + "\",\"key\":\"" +
         key + "\",\"kind\":\"" + kind + "\",\"members\":" + std::to_string (members) +
         ",\"accelerators\":1,\"cores\":4,\"memory_gb\":8,\"adjacency\":\"rack\","
         "\"run_ms\":" +
         run + "},\"true_run_ms\":" + run + ",\"fails\":0}\n";
}

class Traces : public ::testing::TestWithParam<const char *>
{
};

// A change of the scheduler could reject jobs, run them more often or delay them beyond
// the stated outcomes.
TEST_P (Traces, StatedOutcomesHold)
{
  std::string site = GetParam (), err;
  EXPECT_EQ (Carobrun (Replay ("traces/" + site + ".jsonl", site,
                               "traces/" + site + ".expect.json"),
                       nullptr, &err),
             0)
      << err;
}

// The recorded traces and their stated outcomes must belong to the current generator.
TEST_P (Traces, GeneratorWritesTheSame)
{
  std::string site = GetParam (), out;
  char *text = nullptr;
  ASSERT_EQ (Carobrun ("gentrace -s " + site, &out, nullptr), 0);
  ASSERT_TRUE (g_file_get_contents (("traces/" + site + ".jsonl").c_str (), &text,
                                    nullptr, nullptr));
  EXPECT_TRUE (out == text);
  g_free (text);
}

INSTANTIATE_TEST_SUITE_P (Sites, Traces, ::testing::Values ("ertis", "ballonerie"));

// A comparison that accepts every value would hide all regressions.
TEST (Expect, WrongStatementsFail)
{
  const char *wrong[] = {
    "{\"refused_jobs\":{\"equals\":{}}}",
    "{\"refused_jobs\":{\"equals\":{\"float-line/big\":\"quota_exceeded\"}}}",
    "{\"runs_max.polishing-run\":{\"min\":2}}",
    "{\"reclaim_max_ms.float-line\":{\"max\":1}}",
    "{\"reclaim_max_ms.nobody\":{\"max\":2000}}",
    "{\"violations\":{\"min\":1}}",
    "{\"violations\":{}}",
    "{}",
    "not JSON",
  };
  const char right[] =
      "{\"refused_jobs\":{\"equals\":{\"float-line/big\":\"never_fits\"}},"
      "\"runs_max.polishing-run\":{\"min\":1,\"max\":1},"
      "\"reclaim_max_ms.float-line\":{\"min\":2,\"max\":2000},"
      "\"violations\":{\"max\":0}}";
  // Jobs of other accounts fill the fleet, also the rack of 24 accelerators that is
  // guaranteed to an account; then this account submits a job that needs that rack, and
  // the scheduler reclaims it.
  std::string trace;
  for (int i = 0; i < 88 / 8; i++)
    trace += Line (1000, i < 6 ? "bottle-works" : "lab-glass", "b" + std::to_string (i),
                   "edge-profile", 8, 600000);
  trace += Line (2000, "float-line", "big", "edge-profile", 32, 600000);
  trace += Line (2000, "mirror-shop", "once", "polishing-run", 2, 60000);
  trace += Line (60000, "float-line", "owner", "edge-profile", 24, 60000);
  Temp jobs (trace);
  Temp stated (right);
  std::string err;
  EXPECT_EQ (Carobrun (Replay (jobs.path, "ertis", stated.path), nullptr, &err), 0)
      << err;
  for (const char *text : wrong)
    {
      Temp expect (text);
      EXPECT_EQ (Carobrun (Replay (jobs.path, "ertis", expect.path), nullptr, &err), 1)
          << text;
      EXPECT_NE (err.find ("carobrun replay: "), std::string::npos) << text;
    }
}

}
