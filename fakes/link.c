/* carobrun-fake-link: stand-in for a network path, which relays TCP connections. On
   SIGUSR1 it stops relaying the connections that are open, for good and without closing
   them; connections opened later work. */
#include <argp.h>
#include <errno.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net/fns.h"

/* Largest number of connections that are relayed at the same time. */
#define MAX_PAIRS 256
#define BUFFER_BYTES 65536
#define POLL_TIMEOUT_MS 1000

typedef struct
{
  int fd[2];       /* the client's socket and the target's */
  gboolean silent; /* no longer relayed */
} pair_t;

typedef struct
{
  const char *listen;
  const char *to;
} arguments_t;

static volatile sig_atomic_t silence_requested;

static void
on_signal (int sig)
{
  (void)sig;
  silence_requested = 1;
}

static int
socket_address (const char *address, struct sockaddr_in *addr)
{
  char *host = NULL;
  uint16_t port = 0;
  int err = cb_address_parse (address, &host, &port);

  if (err < 0)
    return err;
  addr->sin_family = AF_INET;
  addr->sin_port = htons (port);
  err = inet_pton (AF_INET, host, &addr->sin_addr) == 1 ? CB_OK : CB_NET_BAD_ADDRESS;
  g_free (host);
  return err;
}

static int
open_listener (const char *address)
{
  struct sockaddr_in addr = { 0 };
  int on = 1;
  int fd;

  if (socket_address (address, &addr) < 0)
    return -1;
  fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (fd, (struct sockaddr *)&addr, sizeof addr) == 0 &&
      listen (fd, MAX_PAIRS) == 0)
    return fd;
  close (fd);
  return -1;
}

static void
accept_pair (int listener, const char *to, pair_t *pairs, size_t *count)
{
  struct sockaddr_in addr = { 0 };
  int client = accept (listener, NULL, NULL);
  int target;

  if (client < 0)
    return;
  target = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (*count == MAX_PAIRS || socket_address (to, &addr) < 0 ||
      connect (target, (struct sockaddr *)&addr, sizeof addr) != 0)
    {
      close (client);
      close (target);
      return;
    }
  pairs[*count] = (pair_t){ { client, target }, FALSE };
  (*count)++;
}

/* Copies the readable data of socket FROM, 0 or 1, to the other one of PAIR. Returns
   FALSE when either side has ended the connection. */
static gboolean
relay (pair_t *pair, int from)
{
  char buffer[BUFFER_BYTES];
  ssize_t got = read (pair->fd[from], buffer, sizeof buffer);
  ssize_t sent = 0;

  if (got <= 0)
    return got < 0 && errno == EINTR;
  while (sent < got)
    {
      ssize_t n = write (pair->fd[1 - from], buffer + sent, (size_t)(got - sent));

      if (n <= 0)
        return FALSE;
      sent += n;
    }
  return TRUE;
}

static void
close_pair (pair_t *pairs, size_t *count, size_t i)
{
  close (pairs[i].fd[0]);
  close (pairs[i].fd[1]);
  pairs[i] = pairs[--*count];
}

static void
relay_once (int listener, const char *to, pair_t *pairs, size_t *count)
{
  struct pollfd polled[1 + 2 * MAX_PAIRS];
  size_t before = *count;

  polled[0] = (struct pollfd){ listener, POLLIN, 0 };
  for (size_t i = 0; i < before; i++)
    for (int side = 0; side < 2; side++)
      polled[1 + 2 * i + (size_t)side] = (struct pollfd){
        pairs[i].silent ? -1 : pairs[i].fd[side],
        POLLIN,
        0,
      };
  if (poll (polled, 1 + 2 * before, POLL_TIMEOUT_MS) < 0)
    return;
  /* In reverse order, because close_pair moves the last pair to the index of the closed
     one; that pair has been handled already. */
  for (size_t i = before; i-- > 0;)
    if ((polled[1 + 2 * i].revents != 0 && !relay (&pairs[i], 0)) ||
        (polled[2 + 2 * i].revents != 0 && !relay (&pairs[i], 1)))
      close_pair (pairs, count, i);
  if (polled[0].revents != 0)
    accept_pair (listener, to, pairs, count);
}

static error_t
parse (int key, char *arg, struct argp_state *state)
{
  arguments_t *arguments = state->input;

  if (key == 'l')
    arguments->listen = arg;
  else if (key == 't')
    arguments->to = arg;
  else
    return ARGP_ERR_UNKNOWN;
  return 0;
}

int
main (int argc, char **argv)
{
  static const struct argp_option options[] = {
    { "listen", 'l', "HOST:PORT", 0, "address to listen on", 0 },
    { "to", 't', "HOST:PORT", 0, "address to relay to", 0 },
    { 0 }
  };
  static const struct argp argp = {
    options, parse, NULL, "Relay TCP; SIGUSR1 silences open connections.",
    NULL,    NULL,  NULL
  };
  static pair_t pairs[MAX_PAIRS];
  arguments_t arguments = { NULL, NULL };
  size_t count = 0;
  int listener;

  if (argp_parse (&argp, argc, argv, 0, NULL, &arguments) != 0 ||
      arguments.listen == NULL || arguments.to == NULL ||
      (listener = open_listener (arguments.listen)) < 0)
    {
      fprintf (stderr,
               "carobrun-fake-link: --listen and --to must be usable addresses\n");
      return 2;
    }
  signal (SIGUSR1, on_signal);
  signal (SIGPIPE, SIG_IGN);
  for (;;)
    {
      relay_once (listener, arguments.to, pairs, &count);
      if (!silence_requested)
        continue;
      silence_requested = 0;
      for (size_t i = 0; i < count; i++)
        pairs[i].silent = TRUE;
    }
}
