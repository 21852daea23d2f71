/* Subcommands of carobrun. */
#ifndef CB_CMD_DAT_H
#define CB_CMD_DAT_H

#include "base/dat.h"

/* Exit status of every subcommand. */
enum
{
  CB_EXIT_DONE = 0,
  CB_EXIT_FAILED = 1, /* also: refused by the entry, a check found faults, or a file to
                         check or to compare with can't be read */
  CB_EXIT_USAGE = 2,  /* wrong arguments, or another input file can't be used */
};

typedef struct
{
  const char *name;
  const char *summary;                /* one line for --help */
  int (*run) (int argc, char **argv); /* argv[0] is "carobrun NAME" */
} cb_command_t;

#define CB_CLIENT_MAX_ARGS 2

/* Options and arguments that the commands which call an entry share. */
typedef struct
{
  const char *command; /* "carobrun NAME", for messages */
  const char *entry;   /* IP:PORT, NULL: not given */
  const char *account; /* NULL: not given */
  gboolean json;       /* print the raw body */
  uint32_t timeout_ms;
  int arg_count;
  int min_args;
  int max_args;
  char *args[CB_CLIENT_MAX_ARGS];
} cb_client_t;

/* A complete HTTP answer of an entry. */
typedef struct
{
  int status; /* HTTP status code */
  GString *body;
} cb_client_answer_t;

#endif
