/* Signals as events of the loop. */
#include "net/local.h"

#include <signal.h>
#include <sys/signalfd.h>
#include <unistd.h>

struct cb_signals
{
  h2o_socket_t *sock;
  cb_signal_fn_t fn;
  void *ctx;
  int fd;
};

static void
on_readable (h2o_socket_t *sock, const char *err)
{
  cb_signals_t *signals = sock->data;
  struct signalfd_siginfo info;

  if (err != NULL)
    return;
  while (read (signals->fd, &info, sizeof info) == (ssize_t)sizeof info)
    signals->fn (signals->ctx, (int)info.ssi_signo);
}

/* Calls FN in the loop for each SIGTERM and SIGINT, and ignores SIGPIPE, which a write
   to a closed connection would raise. Call before any thread starts, so that all
   threads inherit the signal mask. Returns NULL when no file descriptor is free. Freed
   with cb_signals_free. */
cb_signals_t *
cb_signals_new (cb_loop_t *loop, cb_signal_fn_t fn, void *ctx)
{
  cb_signals_t *signals;
  sigset_t set;
  int fd;

  sigemptyset (&set);
  sigaddset (&set, SIGTERM);
  sigaddset (&set, SIGINT);
  fd = signalfd (-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
  if (fd < 0)
    return NULL;
  sigprocmask (SIG_BLOCK, &set, NULL);
  signal (SIGPIPE, SIG_IGN);
  signals = g_new0 (cb_signals_t, 1);
  signals->fd = fd;
  signals->fn = fn;
  signals->ctx = ctx;
  signals->sock = h2o_evloop_socket_create (loop->h2o, fd, H2O_SOCKET_FLAG_DONT_READ);
  signals->sock->data = signals;
  h2o_socket_read_start (signals->sock, on_readable);
  return signals;
}

void
cb_signals_free (cb_signals_t *signals)
{
  if (signals == NULL)
    return;
  h2o_socket_read_stop (signals->sock);
  h2o_socket_close (signals->sock);
  g_free (signals);
}
