#include "base/fns.h"

#include <time.h>

static cb_msec_t
read_clock (clockid_t id)
{
  struct timespec ts;

  clock_gettime (id, &ts);
  return (cb_msec_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

static cb_msec_t
system_now_ms (cb_clock_t *clock)
{
  (void)clock;
  return read_clock (CLOCK_BOOTTIME);
}

static cb_msec_t
system_wall_ms (cb_clock_t *clock)
{
  (void)clock;
  return read_clock (CLOCK_REALTIME);
}

static cb_msec_t
manual_ms (cb_clock_t *clock)
{
  return clock->set_ms;
}

static const cb_clock_ops_t system_ops = { system_now_ms, system_wall_ms };
static const cb_clock_ops_t manual_ops = { manual_ms, manual_ms };

/* Returns the system's clock, which is static and never freed. */
cb_clock_t *
cb_clock_system (void)
{
  static cb_clock_t clock = { &system_ops, 0 };

  return &clock;
}

/* Makes CLOCK a manual clock, whose monotonic and wall-clock time are both START_MS
   until cb_clock_advance. */
void
cb_clock_init_manual (cb_clock_t *clock, cb_msec_t start_ms)
{
  clock->ops = &manual_ops;
  clock->set_ms = start_ms;
}

/* Moves a manual clock forward by BY_MS milliseconds. */
void
cb_clock_advance (cb_clock_t *clock, cb_msec_t by_ms)
{
  clock->set_ms += by_ms;
}

/* Returns monotonic time in ms; only differences are meaningful. The system's clock
   counts the time in which the instance is suspended: leases of other processes expire
   during that time, too. */
cb_msec_t
cb_clock_now (cb_clock_t *clock)
{
  return clock->ops->now_ms (clock);
}

/* Returns wall-clock time in ms since 1970-01-01 UTC. */
cb_msec_t
cb_clock_wall (cb_clock_t *clock)
{
  return clock->ops->wall_ms (clock);
}
