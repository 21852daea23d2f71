// A change of the configuration makes the advisor slower, within the validity of its
// tickets. No job of the queue is started any more.
#include "advisor.hpp"

using review::Site;

static const int kWorkers = 11;
static const int kEachMs = 150;
static const int kFastDecideMs = 100;
static const int kSlowDecideMs = 1000;
static const int kValidityMs = 3000;

static std::string
Config (int version, int decide_ms)
{
  return "{\"version\":" + std::to_string (version) + ",\"routes\":[" +
         review::Queue (0) + "," +
         review::Queue (1, ",\"advisor\":{\"decideMs\":" + std::to_string (decide_ms) +
                               ",\"eachMs\":" + std::to_string (kEachMs) +
                               ",\"validityMs\":" + std::to_string (kValidityMs) +
                               "}") +
         "],\"tenants\":[]}";
}

int
main ()
{
  Site site ("review/13");
  review::Advisor advisor (site, kFastDecideMs, kEachMs, kValidityMs);
  const char *job = "{\"spec\":\"run 2000\",\"steps\":[{\"count\":1,\"cpu\":1000,"
                    "\"memMb\":1000,\"gpu\":1,\"estimateMs\":2000}]}";
  int answers;

  site.StartStore ();
  for (int i = 0; i < 2; i++)
    site.AddEntry (300, "advisor_address: '" + advisor.address + "'\n");
  for (int i = 0; i < kWorkers; i++)
    site.AddWorker ("r1", true);
  site.PublishConfig (Config (1, kFastDecideMs));
  site.WaitUntilReady ();
  if (!site.Submit ("/q1/", 1, job))
    site.Quit (2, "the first job is not accepted");
  if (!site.Until (15000, [&] { return site.State ("/q1/", 1) == "completed"; }))
    site.Quit (2, "the first job is not run");
  if (site.Trouble ())
    {
      site.Record ("configuration 2: decideMs %d", kSlowDecideMs);
      advisor.SetDecideMs (kSlowDecideMs);
      site.PublishConfig (Config (2, kSlowDecideMs));
    }
  review::SleepMs (5000);
  answers = advisor.Answers ();
  if (!site.Submit ("/q1/", 2, job))
    site.Quit (2, "the second job is not accepted");
  /* The traffic has ended. The rule counts from finish_s (14 s) on, for 3 s. */
  review::SleepMs (40000);
  std::string state = site.State ("/q1/", 2);
  answers = advisor.Answers () - answers;
  site.RecordRuns ();
  site.Record (
      "40 s after the traffic: state=%s, %d answers of the advisor for the job",
      state.c_str (), answers);
  if (state == "completed")
    site.Quit (0, "the second job was run");
  if (answers < 2 || site.Running (2).size () > 0)
    site.Quit (2, "the advisor or the workers are not as intended");
  site.Quit (1, "LOST: the second job has nothing running, with all workers free");
}
