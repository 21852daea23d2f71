// A lasting task fails soon after each start and is not started again in time.
#include "site.hpp"

using review::Site;

int
main ()
{
  Site site ("review/14");
  const unsigned kFull = 1, kFailing = 2;

  site.StartStore ();
  for (int i = 0; i < 2; i++)
    site.AddEntry ();
  for (int i = 0; i < 3; i++)
    site.AddWorker ("r1");
  site.PublishConfig ("{\"version\":1,\"routes\":[" + review::Queue (0) + "," +
                      review::Queue (1) + "," + review::Queue (2) +
                      "],\"tenants\":[]}");
  site.WaitUntilReady ();
  /* Two of the three workers are full for good. */
  if (!site.Submit ("/q1/", kFull,
                    "{\"spec\":\"run 3600000\",\"steps\":[{\"count\":2,\"cpu\":1000,"
                    "\"memMb\":1000,\"gpu\":8,\"daemon\":true}]}") ||
      !site.Until (5000, [&] { return site.Running (kFull).size () == 2; }))
    site.Quit (2, "the job that fills two workers does not run");
  if (!site.Submit ("/q1/", kFailing,
                    std::string ("{\"spec\":\"") +
                        (site.Trouble () ? "fail 400" : "run 3600000") +
                        "\",\"steps\":[{\"count\":1,\"cpu\":1000,\"memMb\":1000,"
                        "\"gpu\":1,\"daemon\":true}]}"))
    site.Quit (2, "the lasting job is not accepted");
  review::SleepMs (75000);
  int64_t last_end = 0, worst = 0;
  int starts = 0;
  for (auto &e : site.Events ())
    {
      if (e.task.compare (0, 16, Site::Id (kFailing)) != 0)
        continue;
      if (e.what == "run_start")
        {
          starts++;
          if (last_end > 0)
            {
              site.Record ("%lld ms without a run", (long long)(e.t - last_end));
              worst = std::max (worst, e.t - last_end);
            }
        }
      else if (e.what == "run_end")
        last_end = e.t;
    }
  site.RecordRuns ();
  site.Record ("%d starts, the longest time without a run is %lld ms", starts,
               (long long)worst);
  if (starts == 0 || site.Running (kFull).size () != 2)
    site.Quit (2, "the workers are not as intended");
  /* From 6 s after its last run, for 3 s. */
  if (worst > 9000)
    site.Quit (1, "LOST: the lasting task has not been started again in time");
  site.Quit (0, "the lasting task was started again in time");
}
