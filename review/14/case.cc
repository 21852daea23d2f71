// A large urgent job waits for room; meanwhile a small job gets none of the free room.
#include "site.hpp"

using review::Site;

int
main ()
{
  Site site ("review/14");
  const unsigned kLong = 1, kLarge = 2, kSmall = 3;

  site.StartStore ();
  for (int i = 0; i < 2; i++)
    site.AddEntry ();
  for (int i = 0; i < 3; i++)
    site.AddWorker ("r1");
  site.PublishConfig ("{\"version\":1,\"routes\":[" + review::Queue (0) + "," +
                      review::Queue (1) + "," + review::Queue (2) +
                      "],\"tenants\":[]}");
  site.WaitUntilReady ();
  /* One accelerator on each of the three workers is in use for a minute. */
  if (!site.Submit ("/q0/", kLong,
                    "{\"spec\":\"run 60000\",\"steps\":[{\"count\":3,\"cpu\":1000,"
                    "\"memMb\":1000,\"gpu\":1,\"estimateMs\":60000,"
                    "\"maxPerServer\":1}]}") ||
      !site.Until (5000, [&] { return site.Running (kLong).size () == 3; }))
    site.Quit (2, "the long job does not run");
  if (site.Trouble () &&
      !site.Submit ("/q0/", kLarge,
                    "{\"spec\":\"run 2000\",\"steps\":[{\"count\":3,\"cpu\":8000,"
                    "\"memMb\":1000,\"gpu\":8,\"estimateMs\":2000,\"gang\":true}]}"))
    site.Quit (2, "the large job is not accepted");
  review::SleepMs (1000);
  if (!site.Submit ("/q2/", kSmall,
                    "{\"spec\":\"run 1000\",\"steps\":[{\"count\":1,\"cpu\":1000,"
                    "\"memMb\":1000,\"gpu\":1,\"estimateMs\":1000}]}"))
    site.Quit (2, "the small job is not accepted");
  /* The traffic has ended. The rule counts from finish_s (14 s) on, for 3 s. */
  int64_t traffic_end_ms = site.Now ();
  while (site.Now () < traffic_end_ms + 17500)
    {
      site.State ("/q2/", kSmall);
      review::SleepMs (500);
    }
  std::string state = site.State ("/q2/", kSmall);
  size_t long_running = site.Running (kLong).size ();
  size_t starts = 0;
  for (auto &e : site.Events ())
    starts += e.what == "run_start" && e.task.compare (0, 16, Site::Id (kSmall)) == 0;
  site.RecordRuns ();
  site.Record (
      "17.5 s after the traffic: state=%s starts=%zu, accelerators in use %zu of "
      "24, 7 free on each worker",
      state.c_str (), starts, long_running);
  if (state == "completed")
    site.Quit (0, "the small job was run");
  if (long_running != 3 || site.Running (kLarge).size () > 0)
    site.Quit (2, "the workers are not as intended");
  site.Quit (
      1, "LOST: the small job has nothing running, with room for it on each worker");
}
