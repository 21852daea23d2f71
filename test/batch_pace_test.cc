// Guards the response times of tasks that serve against tasks that fill beside them,
// and the latter against standing still for longer than that needs.
#include "test/batch_harness.h"

namespace
{

// The platform bears 4 s over the target because of tasks that fill.
const cb_msec_t HARM_MS = 4000;

StepSpec
Serving (uint32_t target_ms)
{
  StepSpec step = { 1, 1, 4000 };

  step.target_ms = target_ms;
  return step;
}

StepSpec
Filling (uint32_t count)
{
  StepSpec step = { count, 1, 4000 };

  step.fills = true;
  return step;
}

TEST (BatchPace, FillingWorkIsSlowedDownInTime)
{
  BatchSite site (1, 1);
  cb_msec_t over_ms = 0;

  site.length_ms["s"] = 600000;
  site.length_ms["f"] = 600000;
  site.workers[0]->latency_ms = 30;
  site.Submit ("s", 0, { Serving (50) });
  site.Submit ("f", 0, { Filling (4) });
  for (int i = 0; i < 100; i++)
    {
      site.Advance (100);
      over_ms = site.workers[0]->Latency () > 50 ? over_ms + 100 : 0;
      EXPECT_LT (over_ms, HARM_MS);
    }
  EXPECT_EQ (site.Running ("f"), 4);
}

// Guards against work that stays slowed down after the load of the serving task fell.
TEST (BatchPace, FillingWorkGetsMoreAgain)
{
  BatchSite site (1, 1);

  site.length_ms["s"] = 600000;
  site.length_ms["f"] = 600000;
  site.workers[0]->latency_ms = 200;
  site.workers[0]->disturb_ms = 1;
  site.Submit ("s", 0, { Serving (50) });
  site.Submit ("f", 0, { Filling (1) });
  site.Advance (5000);
  EXPECT_EQ (site.workers[0]->running.at ("f.0.0.0").pace, 0u);
  site.workers[0]->latency_ms = 10;
  site.Advance (15000);
  EXPECT_EQ (site.workers[0]->running.at ("f.0.0.0").pace, 100u);
}

TEST (BatchPace, FillingAndServingWorkIsKeptApartWhereItCanBe)
{
  BatchSite site (2, 2);

  site.length_ms["s"] = 600000;
  site.length_ms["f"] = 600000;
  site.Submit ("s", 0, { Serving (50) });
  site.Advance (300);
  site.Submit ("f", 0, { Filling (2) });
  site.Advance (300);
  for (const auto &w : site.workers)
    EXPECT_TRUE (w->running.count ("s.0.0.0") == 0 || w->running.size () == 1);
  EXPECT_EQ (site.Running ("f"), 2);
}

// Tasks that fill use no cores of their own: a worker whose cores are taken holds them.
TEST (BatchPace, FillingWorkNeedsNoFreeCores)
{
  BatchSite site (1, 1);

  site.SubmitAndRun ("b", 0, { { 1, 1, 64000 } }, 600000, 300);
  site.length_ms["f"] = 600000;
  site.Submit ("f", 0, { Filling (3) });
  site.Advance (300);
  EXPECT_EQ (site.Running ("f"), 3);
  EXPECT_EQ (site.workers[0]->running.at ("f.0.0.0").pace, 100u);
}

} // namespace
